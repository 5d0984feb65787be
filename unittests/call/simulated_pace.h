#ifndef WAXWINGFALL_UNITTESTS_CALL_SIMULATED_PACE_H
#define WAXWINGFALL_UNITTESTS_CALL_SIMULATED_PACE_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "waxwingfall/call/admission.h"
#include "waxwingfall/call/pace.h"
#include "waxwingfall/call/placement.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/support/random_source.h"

namespace waxwingfall {

/// How the node beside a worker limits its concurrent requests.
enum class pace_design : std::uint8_t {
    slots,    ///< all slots
    ramp,     ///< a share of the slots that grows from a quarter to all while the worker says that it is slow
    adaptive, ///< `call/pace`
};

/// A worker of the simulated service.
struct simulated_worker {
    double speed = 1;
    double slowdown = 1; ///< factor on its run times at present
    bool is_up = true;   ///< sends requests nowhere else if not
    bool fails = false;  ///< answers all requests with an error after a tenth of their run time
    time_point warm_at;  ///< until then, its runs take twice as long
    admission queue;
    pace_state pace;
    std::uint32_t incarnation = 0;
};

/// A request of the simulated service that has ended.
struct simulated_end {
    time_point sent;
    time_point ended;
    std::size_t worker = 0; ///< the last one that it was sent to
    bool served = false;    ///< not refused and not failed
    bool timely = false;
};

/// Simulates a service of eight workers and the nodes that call it, with the placement and the admission of
/// the product. Run times have a lognormal distribution, 3% of the runs take seven times as long, and
/// a worker with more than four fifths of its slots occupied slows down by up to a half. Refused requests
/// are sent once more to another worker.
class simulated_pace {
public:
    static constexpr std::uint32_t slots = 18;
    static constexpr std::size_t workers = 8;
    static constexpr double mean_run_ms = 190;
    static constexpr double full_share = 0.8; ///< of the slots, from which on a worker slows down
    static constexpr milliseconds objective{600};
    static constexpr milliseconds deadline{3000};

    simulated_pace(pace_design design, std::uint64_t seed, double spread,
                   const std::vector<double>& speeds = std::vector<double>(workers, 1.0))
        : design_(design), spread_(spread), random_(seed), workers_(workers), tables_(workers) {
        for (std::size_t index = 0; index < workers; ++index) {
            workers_[index].speed = speeds[index];
            start_worker(index, milliseconds(0));
        }
    }

    /// Requests per second that all workers can serve at most: with four fifths of their slots occupied,
    /// since they slow down beyond that.
    double capacity_per_s() const {
        double sum = 0;
        for (const simulated_worker& each : workers_) {
            sum += full_share * slots * each.speed / mean_run_ms * 1000;
        }
        return sum;
    }

    /// Starts a new process of the worker and of its node, which is slow for `cold`.
    void start_worker(std::size_t index, milliseconds cold) {
        simulated_worker& started = workers_[index];
        started = {started.speed, 1, true, false, now_ + cold, {}, {}, started.incarnation + 1};
        started.queue.queue_limit = 24;
        set_pace_slots(started.pace, slots);
        set_warm_up(started.pace, cold, now_);
        set_state(index, member_state::alive);
    }

    /// Stops a worker; its requests are lost.
    void stop_worker(std::size_t index) {
        workers_[index].is_up = false;
        workers_[index].incarnation += 1;
        set_state(index, member_state::dead);
    }

    simulated_worker& worker(std::size_t index) { return workers_[index]; }
    const std::vector<simulated_end>& ended() const { return ended_; }
    time_point now() const { return now_; }

    /// Simulates a steady load of so many requests a second.
    void simulate(double per_s, milliseconds length) {
        for (const time_point end = now_ + length; now_ < end; now_ += milliseconds(1)) {
            for (; !events_.empty() && events_.begin()->first <= now_; events_.erase(events_.begin())) {
                const auto event = events_.begin()->second;
                event();
            }
            for (auto arrivals = std::poisson_distribution<int>(per_s / 1000)(random_); arrivals > 0;
                 --arrivals) {
                const std::uint64_t id = next_id_++;
                requests_[id] = {now_, random_below(random_, workers), {}, 0};
                send(id);
            }
            for (std::size_t index = 0; index < workers; ++index) {
                limit(index);
                apply(index, process_queue(workers_[index].queue, now_));
            }
        }
    }

    /// Counts the requests sent from `from` to `to` after the start that match.
    template <typename Matches> int count(milliseconds from, milliseconds to, Matches matches) const {
        return static_cast<int>(std::count_if(ended_.begin(), ended_.end(), [&](const simulated_end& each) {
            return each.sent >= time_point() + from && each.sent < time_point() + to && matches(each);
        }));
    }

    int bad(milliseconds from, milliseconds to) const {
        return count(from, to, [](const simulated_end& each) { return !each.timely; });
    }

    /// Requests per second that the worker served between two times after the start.
    double served_per_s(std::size_t index, milliseconds from, milliseconds to) const {
        const auto served = std::count_if(ended_.begin(), ended_.end(), [&](const simulated_end& each) {
            return each.served && each.worker == index && each.ended >= time_point() + from &&
                   each.ended < time_point() + to;
        });
        return static_cast<double>(served) * 1000 / static_cast<double>((to - from).count());
    }

private:
    struct request {
        time_point sent;
        std::size_t node = 0;
        std::vector<member_id> attempted;
        std::size_t worker = 0;
    };

    void set_state(std::size_t index, member_state state) {
        member changed;
        changed.id = index + 1;
        changed.data_centre = "d";
        changed.region = "r";
        changed.service = "s";
        changed.inbound_address = "a" + std::to_string(index);
        changed.slots = slots;
        changed.state = state;
        for (routing_table& table : tables_) {
            table.data_centre = "d";
            table.region = "r";
            update_endpoint(table, changed, now_);
        }
    }

    void limit(std::size_t index) {
        simulated_worker& limited = workers_[index];
        std::uint32_t most = slots;
        if (design_ == pace_design::adaptive) {
            most = pace_limit(limited.pace, now_);
        } else if (design_ == pace_design::ramp && now_ < limited.warm_at) {
            constexpr double cold_ms = 3000;
            const double left = static_cast<double>(elapsed_ms(now_, limited.warm_at)) / cold_ms;
            most = static_cast<std::uint32_t>(slots * (1 - 0.75 * left));
        }
        limited.queue.slots = most;
        limited.queue.unpaced_slots = slots;
    }

    void send(std::uint64_t id) {
        request& sent = requests_.at(id);
        placement_inputs inputs;
        inputs.service = "s";
        inputs.priority = 2;
        inputs.attempted = sent.attempted;
        const auto picked = place_call(tables_[sent.node], inputs, now_, random_);
        if (!picked) {
            finish(id, false);
            return;
        }
        sent.worker = static_cast<std::size_t>(*picked - 1);
        sent.attempted.push_back(*picked);
        begin_attempt(tables_[sent.node], "s", *picked);
        simulated_worker& target = workers_[sent.worker];
        limit(sent.worker);
        const auto left = std::max(milliseconds(0), milliseconds(elapsed_ms(now_, sent.sent + objective)));
        const waiting_request waiting = make_waiting_request(id, sent.sent + deadline, 2, left, false, now_);
        const admission_verdict verdict = admit(target.queue, waiting, now_);
        apply(sent.worker, process_queue(target.queue, now_));
        if (verdict == admission_verdict::run) {
            run(id);
        } else if (verdict != admission_verdict::wait) {
            refuse(id);
        }
    }

    milliseconds draw_run_time(const simulated_worker& runner) {
        constexpr double tail_share = 0.03;
        constexpr double tail_factor = 7;
        const double tail_mean = 1 + tail_share * (tail_factor - 1);
        const double median = mean_run_ms / tail_mean / std::exp(spread_ * spread_ / 2);
        double ms = median * std::exp(spread_ * std::normal_distribution<double>()(random_));
        ms *= std::uniform_real_distribution<double>()(random_) < tail_share ? tail_factor : 1;
        const double occupied = static_cast<double>(runner.queue.running) / slots;
        ms *= 1 + 0.5 * std::clamp((occupied - full_share) / (1 - full_share), 0.0, 1.0);
        ms *= (now_ < runner.warm_at ? 2 : 1) * runner.slowdown / runner.speed;
        return milliseconds(std::max<std::int64_t>(1, std::llround(ms)));
    }

    void run(std::uint64_t id) {
        const std::size_t index = requests_.at(id).worker;
        const simulated_worker& runner = workers_[index];
        const bool fails = runner.fails;
        const milliseconds length = fails ? draw_run_time(runner) / 10 : draw_run_time(runner);
        const std::uint32_t incarnation = runner.incarnation;
        events_.emplace(now_ + length, [this, id, index, length, incarnation, fails] {
            simulated_worker& ran = workers_[index];
            if (ran.incarnation != incarnation) {
                end_attempt(tables_[requests_.at(id).node], "s", index + 1, attempt_result::failed, {}, now_);
                finish(id, false);
                return;
            }
            record_run(ran.pace,
                       {2, length, fails ? run_result::failed : run_result::served, ran.queue.running}, now_);
            limit(index);
            const queue_update update = release_slot(ran.queue, length, now_, 2);
            report(id, attempt_result::responded, std::nullopt);
            finish(id, !fails);
            apply(index, update);
        });
    }

    void apply(std::size_t index, const queue_update& update) {
        for (const std::uint64_t id : update.run) {
            requests_.at(id).worker = index;
            run(id);
        }
        for (const std::uint64_t id : update.expired) {
            refuse(id);
        }
    }

    void report(std::uint64_t id, attempt_result result, std::optional<milliseconds> pause) {
        const request& answered = requests_.at(id);
        const admission& queue = workers_[answered.worker].queue;
        endpoint_report content;
        content.load = reported_load(queue);
        content.mean_run_ms = queue.mean_run_ms > 0 ? std::optional(queue.mean_run_ms) : std::nullopt;
        content.priority = 2;
        content.pause = pause;
        end_attempt(tables_[answered.node], "s", answered.worker + 1, result, content, now_);
    }

    void refuse(std::uint64_t id) {
        request& refused = requests_.at(id);
        const auto left = std::max(milliseconds(0), milliseconds(elapsed_ms(now_, refused.sent + objective)));
        const waiting_request waiting =
            make_waiting_request(id, refused.sent + deadline, 2, left, false, now_);
        report(id, attempt_result::refused, expected_lateness(workers_[refused.worker].queue, waiting, now_));
        constexpr std::size_t max_attempts = 2;
        if (refused.attempted.size() >= max_attempts) {
            finish(id, false);
            return;
        }
        send(id);
    }

    void finish(std::uint64_t id, bool served) {
        const request& done = requests_.at(id);
        ended_.push_back({done.sent, now_, done.worker, served, served && now_ - done.sent <= objective});
        requests_.erase(id);
    }

    pace_design design_;
    double spread_;
    random_source random_;
    time_point now_;
    std::uint64_t next_id_ = 1;
    std::vector<simulated_worker> workers_;
    std::vector<routing_table> tables_; ///< of the nodes that call the service
    std::map<std::uint64_t, request> requests_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<simulated_end> ended_;
};

} // namespace waxwingfall

#endif
