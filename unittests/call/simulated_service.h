#ifndef WAXWINGFALL_UNITTESTS_CALL_SIMULATED_SERVICE_H
#define WAXWINGFALL_UNITTESTS_CALL_SIMULATED_SERVICE_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "waxwingfall/call/admission.h"
#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/client_retry_tracker.h"
#include "waxwingfall/call/return_schedule.h"
#include "waxwingfall/support/random_source.h"

namespace waxwingfall {

/// A load of one kind of request on one worker.
struct simulated_load {
    std::uint64_t requests_per_s = 0;
    milliseconds mean_run{200}; ///< runs last from half to one and a half times the mean
    milliseconds objective{600};
    milliseconds deadline{2500};
    int retries = 1; ///< of a refused client
    std::uint32_t priority = 2;
    milliseconds from{0};          ///< the first requests
    milliseconds until{1'000'000}; ///< the last ones
};

/// What the clients of a load received.
struct simulated_outcome {
    int sent = 0;
    int in_time = 0; ///< measured from the first attempt
    int late = 0;
    int refused = 0;  ///< on the last attempt as well
    int returned = 0; ///< retries after a refusal
    int returned_served = 0;
    double share_in_time() const { return static_cast<double>(in_time) / std::max(1, sent); }
    double share_served() const { return static_cast<double>(in_time + late) / std::max(1, sent); }
};

/// Simulates loads against the admission control of one worker, with clients that retry after the delay in a
/// refusal.
class simulated_service {
public:
    /// Without retry tracking the latency objective starts anew with each attempt.
    simulated_service(std::uint32_t slots, bool tracks_retries)
        : tracks_retries_(tracks_retries), random_(7) {
        admission_.slots = slots;
        admission_.queue_limit = 4 * slots;
        admission_.mean_run_ms = 200;
    }

    simulated_outcome simulate(const simulated_load& load, milliseconds length) {
        return simulate_together({load}, length).front();
    }

    /// Simulates several loads at once and returns the outcome of each.
    std::vector<simulated_outcome> simulate_together(const std::vector<simulated_load>& loads,
                                                     milliseconds length) {
        outcomes_.resize(loads.size());
        for (milliseconds at{0}; at < length; at += milliseconds(1)) {
            for (std::size_t stream = 0; stream < loads.size(); ++stream) {
                constexpr std::uint64_t ms_per_s = 1000;
                const bool is_active = at >= loads[stream].from && at < loads[stream].until;
                if (is_active && random_below(random_, ms_per_s) < loads[stream].requests_per_s) {
                    const std::uint64_t id = next_id_++;
                    requests_.emplace(
                        id, client{loads[stream], stream, time_point() + at, loads[stream].retries});
                    events_.emplace(time_point() + at, [this, id] { attempt(id); });
                }
            }
        }
        while (!events_.empty()) {
            now_ = events_.begin()->first;
            const auto event = events_.begin()->second;
            events_.erase(events_.begin());
            event();
        }
        return outcomes_;
    }

private:
    struct client {
        simulated_load load;
        std::size_t stream = 0; ///< position of its load
        time_point first_sent;
        int retries_left = 0;
        bool has_returned = false;
    };

    void attempt(std::uint64_t id) {
        const client& sender = requests_.at(id);
        const time_point deadline = sender.first_sent + sender.load.deadline;
        const std::string fingerprint = std::to_string(id);
        const time_point first =
            tracks_retries_ ? first_received(retry_tracker_, fingerprint, deadline, now_) : now_;
        const time_point objective_end = first + sender.load.objective;
        outcomes_[sender.stream].sent += sender.retries_left == sender.load.retries ? 1 : 0;
        const milliseconds objective_left(std::max<std::int64_t>(0, elapsed_ms(now_, objective_end)));
        const waiting_request request =
            make_waiting_request(id, deadline, sender.load.priority, objective_left, first != now_, now_);
        const admission_verdict verdict = admit(admission_, request, now_);
        apply(process_queue(admission_, now_));
        if (verdict == admission_verdict::run) {
            run(id);
        } else if (verdict != admission_verdict::wait) {
            refuse(id);
        }
    }

    void run(std::uint64_t id) {
        const auto mean = static_cast<std::uint64_t>(requests_.at(id).load.mean_run.count());
        const milliseconds length(static_cast<std::int64_t>(mean / 2 + random_below(random_, mean)));
        events_.emplace(now_ + length, [this, id, length] {
            const client& served = requests_.at(id);
            const bool is_timely = now_ - served.first_sent <= served.load.objective;
            simulated_outcome& outcome = outcomes_[served.stream];
            outcome.in_time += is_timely ? 1 : 0;
            outcome.late += is_timely ? 0 : 1;
            outcome.returned_served += served.has_returned ? 1 : 0;
            apply(release_slot(admission_, length, now_, served.load.priority));
        });
    }

    void apply(const queue_update& update) {
        std::for_each(update.run.begin(), update.run.end(), [this](std::uint64_t id) { run(id); });
        std::for_each(update.expired.begin(), update.expired.end(), [this](std::uint64_t id) { refuse(id); });
    }

    void refuse(std::uint64_t id) {
        client& refused = requests_.at(id);
        if (refused.retries_left-- == 0) {
            outcomes_[refused.stream].refused += 1;
            return;
        }
        const time_point deadline = refused.first_sent + refused.load.deadline;
        track_unserved(retry_tracker_, std::to_string(id), {refused.first_sent, deadline}, now_);
        const auto time_until = [this](time_point end) {
            return milliseconds(std::max<std::int64_t>(0, elapsed_ms(now_, end)));
        };
        const milliseconds objective_left =
            tracks_retries_ ? time_until(refused.first_sent + refused.load.objective) : milliseconds(0);
        const waiting_request request =
            make_waiting_request(id, deadline, refused.load.priority, objective_left, false, now_);
        const std::chrono::duration<double, std::milli> service_interval(admission_.mean_run_ms /
                                                                         admission_.slots);
        const milliseconds room_in =
            schedule_return(returns_, expected_lateness(admission_, request, now_), service_interval, now_);
        const retry_after_inputs inputs{refused.load.mean_run, objective_left, time_until(deadline), room_in};
        constexpr double ms_per_s = 1000.0;
        const milliseconds pause(static_cast<std::int64_t>(retry_after_s(inputs, random_) * ms_per_s));
        refused.has_returned = true;
        outcomes_[refused.stream].returned += 1;
        events_.emplace(now_ + pause, [this, id] { attempt(id); });
    }

    bool tracks_retries_;
    random_source random_;
    admission admission_;
    client_retry_tracker retry_tracker_;
    return_schedule returns_;
    time_point now_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, client> requests_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<simulated_outcome> outcomes_;
};

} // namespace waxwingfall

#endif
