#include "waxwingfall/call/upload_budget.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace waxwingfall {

namespace {

constexpr double bytes_per_megabit = 125'000;

/// Fraction of the link for request bodies. The rest carries small messages, heads, acknowledgements and the
/// overhead of packets; above it, the queue of the link grows with each burst.
constexpr double body_share = 0.85;

/// Bodies that were requested and have not arrived, as time on the link. Bounds how long a small message
/// waits behind them even if all of them arrive at once.
constexpr double max_outstanding_s = 0.08;

/// Time without progress after which a transfer no longer keeps others from starting. Nodes with a tenth of a
/// core lag by up to 0.3 s under load, mostly by less than half of that.
constexpr milliseconds slow_after{150};

/// Time without progress after which a transfer is given up: two lost packets in a row delay a connection by
/// 0.6 s.
constexpr milliseconds stalled_after{1000};

/// Lateness of a start that the next ones make up for. Timers of a loaded node fire some milliseconds late.
constexpr milliseconds max_credit{20};

/// Bounds the memory of waiting heads and the work for each of them.
constexpr std::size_t max_waiting = 256;

using fractional_ms = std::chrono::duration<double, std::milli>;

fractional_ms transfer_time(const upload_budget& state, double bytes) {
    constexpr double ms_per_s = 1000;
    return fractional_ms(bytes / state.bytes_per_s * ms_per_s);
}

time_point later(time_point from, fractional_ms by) {
    return from + std::chrono::duration_cast<time_point::duration>(by);
}

time_point latest_useful_end(const upload& waiting) {
    const waiting_request& urgency = waiting.urgency;
    return urgency.past_objective ? urgency.deadline : urgency.objective.value_or(urgency.deadline);
}

bool starts_before(const upload& one, const upload& other) {
    return std::tuple(one.urgency.priority, one.urgency.past_objective, latest_useful_end(one)) <
           std::tuple(other.urgency.priority, other.urgency.past_objective, latest_useful_end(other));
}

/// Expected end of an upload that starts behind `bytes_ahead` in `starts_ahead` others.
time_point expected_end(const upload_budget& state, const upload& expected, double bytes_ahead,
                        std::size_t starts_ahead, const worker_outlook& worker, time_point now) {
    const time_point start = later(std::max(now, state.next_start), transfer_time(state, bytes_ahead));
    const time_point arrival = later(start, transfer_time(state, static_cast<double>(expected.bytes)));
    const time_point slot_free =
        now + worker.queue_wait + worker.between_starts * (starts_ahead + state.transferring.size());
    return std::max(arrival, slot_free) + worker.run_time;
}

double outstanding_bytes(const upload_budget& state, time_point now) {
    return std::accumulate(state.transferring.begin(), state.transferring.end(), 0.0,
                           [&](double sum, const upload_transfer& transfer) {
                               const bool is_slow = now - transfer.last_progress > slow_after;
                               return is_slow ? sum : sum + static_cast<double>(transfer.bytes_left);
                           });
}

/// True if so few bytes are on their way that another body may follow. A single body may be larger than the
/// limit.
bool has_room(const upload_budget& state, const upload& next, time_point now) {
    const double outstanding = outstanding_bytes(state, now);
    const double limit = state.bytes_per_s / body_share * max_outstanding_s;
    return outstanding == 0 || outstanding + static_cast<double>(next.bytes) <= limit;
}

void refuse_late(upload_budget& state, const worker_outlook& worker, time_point now, upload_update& update) {
    double bytes_ahead = 0;
    std::size_t starts_ahead = 0;
    std::erase_if(state.waiting, [&](const upload& waiting) {
        const time_point end = expected_end(state, waiting, bytes_ahead, starts_ahead, worker, now);
        if (end > latest_useful_end(waiting) || starts_ahead >= max_waiting) {
            update.refused.push_back(waiting.urgency.id);
            return true;
        }
        bytes_ahead += static_cast<double>(waiting.bytes);
        starts_ahead += 1;
        return false;
    });
}

void start_waiting(upload_budget& state, time_point now, upload_update& update) {
    while (!state.waiting.empty() && now >= state.next_start && has_room(state, state.waiting.front(), now)) {
        const upload started = state.waiting.front();
        state.waiting.erase(state.waiting.begin());
        state.transferring.push_back({started, started.bytes, now});
        state.next_start = later(std::max(state.next_start, now - max_credit),
                                 transfer_time(state, static_cast<double>(started.bytes)));
        update.accepted.push_back(started.urgency.id);
    }
}

} // namespace

upload_budget budget_of_link(double link_mbps) {
    upload_budget state;
    state.bytes_per_s = link_mbps * bytes_per_megabit * body_share;
    return state;
}

upload_update add_upload(upload_budget& state, const upload& arrived, const worker_outlook& worker,
                         time_point now) {
    if (state.bytes_per_s <= 0) {
        return {{arrived.urgency.id}, {}, {}};
    }
    const auto position =
        std::upper_bound(state.waiting.begin(), state.waiting.end(), arrived, starts_before);
    state.waiting.insert(position, arrived);
    return process_uploads(state, worker, now);
}

upload_update process_uploads(upload_budget& state, const worker_outlook& worker, time_point now) {
    upload_update update;
    std::erase_if(state.transferring, [&](const upload_transfer& transfer) {
        const bool is_stalled = now - transfer.last_progress > stalled_after;
        if (is_stalled) {
            update.stalled.push_back(transfer.started.urgency.id);
        }
        return is_stalled;
    });
    refuse_late(state, worker, now, update);
    start_waiting(state, now, update);
    return update;
}

std::optional<time_point> next_upload_start(const upload_budget& state, time_point now) {
    if (state.waiting.empty() || !has_room(state, state.waiting.front(), now)) {
        return std::nullopt;
    }
    return std::max(now, state.next_start);
}

void record_upload_progress(upload_budget& state, std::uint64_t id, std::size_t bytes_left, time_point now) {
    for (upload_transfer& transfer : state.transferring) {
        if (transfer.started.urgency.id == id && bytes_left < transfer.bytes_left) {
            transfer.bytes_left = bytes_left;
            transfer.last_progress = now;
        }
    }
}

void remove_upload(upload_budget& state, std::uint64_t id) {
    std::erase_if(state.transferring,
                  [&](const upload_transfer& transfer) { return transfer.started.urgency.id == id; });
    std::erase_if(state.waiting, [&](const upload& waiting) { return waiting.urgency.id == id; });
}

milliseconds link_backlog(const upload_budget& state) {
    if (state.bytes_per_s <= 0) {
        return milliseconds(0);
    }
    double bytes = 0;
    for (const upload_transfer& transfer : state.transferring) {
        bytes += static_cast<double>(transfer.bytes_left);
    }
    for (const upload& waiting : state.waiting) {
        bytes += static_cast<double>(waiting.bytes);
    }
    return std::chrono::ceil<milliseconds>(transfer_time(state, bytes));
}

milliseconds upload_room_in(const upload_budget& state, const upload& refused, const worker_outlook& worker,
                            time_point now) {
    if (state.bytes_per_s <= 0) {
        return milliseconds(0);
    }
    double bytes_ahead = 0;
    std::size_t starts_ahead = 0;
    for (const upload& waiting : state.waiting) {
        const bool is_ahead = !starts_before(refused, waiting);
        bytes_ahead += is_ahead ? static_cast<double>(waiting.bytes) : 0.0;
        starts_ahead += is_ahead ? 1 : 0;
    }
    const time_point end = expected_end(state, refused, bytes_ahead, starts_ahead, worker, now);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(end - latest_useful_end(refused)));
}

milliseconds schedule_upload_return(upload_budget& state, const upload& refused, const worker_outlook& worker,
                                    time_point now) {
    if (state.bytes_per_s <= 0) {
        return milliseconds(0);
    }
    return schedule_return(state.returns, upload_room_in(state, refused, worker, now),
                           transfer_time(state, static_cast<double>(refused.bytes)), now);
}

} // namespace waxwingfall
