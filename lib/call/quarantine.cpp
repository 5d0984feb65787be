#include "waxwingfall/call/quarantine.h"

#include <algorithm>

namespace waxwingfall {

namespace {

time_point last_change(const crash_record& record) {
    return std::max(record.last_crash, record.last_trial);
}

void evict_old(quarantine& state, time_point now) {
    std::erase_if(state.records, [&](const auto& entry) {
        return now - last_change(entry.second) > state.policy.retention;
    });
    while (state.records.size() >= state.policy.max_fingerprints) {
        const auto oldest = std::min_element(state.records.begin(), state.records.end(),
                                             [](const auto& left, const auto& right) {
                                                 return last_change(left.second) < last_change(right.second);
                                             });
        state.records.erase(oldest);
    }
}

crash_record& find_or_add(quarantine& state, const std::string& fingerprint, time_point now) {
    const auto known = state.records.find(fingerprint);
    if (known != state.records.end() && now - last_change(known->second) <= state.policy.retention) {
        return known->second;
    }
    evict_old(state, now);
    crash_record& added = state.records[fingerprint];
    added.last_crash = now;
    added.last_trial = now;
    return added;
}

bool add_crash(crash_record& record, member_id worker, std::uint64_t crashed_at, time_point now) {
    std::uint64_t& latest = record.crashes[worker];
    if (crashed_at <= latest) {
        return false;
    }
    latest = crashed_at;
    record.last_crash = now;
    return true;
}

bool add_trial(crash_record& record, member_id worker, std::uint64_t begun_at, time_point now) {
    if (begun_at <= record.completed_at || !record.trials.emplace(begun_at, worker).second) {
        return false;
    }
    record.last_trial = now;
    return true;
}

bool add_completion(crash_record& record, std::uint64_t completed_at) {
    if (completed_at <= record.completed_at) {
        return false;
    }
    record.completed_at = completed_at;
    std::erase_if(record.crashes, [&](const auto& crash) { return crash.second <= completed_at; });
    record.trials.erase(record.trials.begin(), record.trials.upper_bound(completed_at));
    return true;
}

/// True if the worker of a trial crashed after its start.
bool has_failed(const crash_record& record, const std::pair<const std::uint64_t, member_id>& trial) {
    const auto crash = record.crashes.find(trial.second);
    return crash != record.crashes.end() && crash->second > trial.first;
}

std::uint64_t last_crash_time(const crash_record& record) {
    std::uint64_t last = 0;
    for (const auto& [worker, crashed_at] : record.crashes) {
        last = std::max(last, crashed_at);
    }
    return last;
}

} // namespace

run_verdict run_verdict_of(const quarantine& state, const std::string& fingerprint, time_point now) {
    const auto known = state.records.find(fingerprint);
    if (known == state.records.end()) {
        return run_verdict::run;
    }
    const quarantine_policy& policy = state.policy;
    const crash_record& record = known->second;
    if (record.crashes.size() < policy.crashes_to_suspect || now - last_change(record) > policy.retention) {
        return run_verdict::run;
    }
    const auto failed =
        static_cast<std::size_t>(std::count_if(record.trials.begin(), record.trials.end(),
                                               [&](const auto& trial) { return has_failed(record, trial); }));
    if (failed < record.trials.size() && now - record.last_trial < policy.trial_timeout) {
        return run_verdict::awaiting_trial;
    }
    const bool is_due =
        failed < policy.trial_delays.size() && now - record.last_crash >= policy.trial_delays.at(failed);
    return is_due ? run_verdict::trial : run_verdict::refuse;
}

bool record_crash(quarantine& state, const std::string& fingerprint, member_id worker,
                  std::uint64_t crashed_at, time_point now) {
    crash_record& record = find_or_add(state, fingerprint, now);
    return crashed_at > record.completed_at && add_crash(record, worker, crashed_at, now);
}

void record_trial(quarantine& state, const std::string& fingerprint, member_id worker, std::uint64_t begun_at,
                  time_point now) {
    add_trial(find_or_add(state, fingerprint, now), worker, begun_at, now);
}

bool record_completion(quarantine& state, const std::string& fingerprint, std::uint64_t completed_at) {
    if (state.records.empty()) {
        return false;
    }
    const auto known = state.records.find(fingerprint);
    if (known == state.records.end() || known->second.crashes.empty()) {
        return false;
    }
    // Also after the crashes that a node with a fast clock reported.
    return add_completion(known->second, std::max(completed_at, last_crash_time(known->second)));
}

wire::crash_record encode_crash_record(const quarantine& state, const std::string& fingerprint) {
    const crash_record& record = state.records.at(fingerprint);
    wire::crash_record out;
    out.set_fingerprint(fingerprint);
    for (const auto& [worker, crashed_at] : record.crashes) {
        wire::crash& crash = *out.add_crashes();
        crash.set_worker(worker);
        crash.set_crashed_at(crashed_at);
    }
    for (const auto& [begun_at, worker] : record.trials) {
        wire::trial& trial = *out.add_trials();
        trial.set_worker(worker);
        trial.set_begun_at(begun_at);
    }
    out.set_completed_at(record.completed_at);
    return out;
}

std::vector<wire::crash_record> suspect_records(const quarantine& state, time_point now) {
    std::vector<wire::crash_record> suspects;
    for (const auto& [fingerprint, record] : state.records) {
        if (run_verdict_of(state, fingerprint, now) != run_verdict::run) {
            suspects.push_back(encode_crash_record(state, fingerprint));
        }
    }
    return suspects;
}

bool merge_crash_record(quarantine& state, const wire::crash_record& received, time_point now) {
    crash_record& record = find_or_add(state, received.fingerprint(), now);
    bool is_news = add_completion(record, received.completed_at());
    for (const wire::crash& crash : received.crashes()) {
        if (crash.crashed_at() > record.completed_at) {
            is_news = add_crash(record, crash.worker(), crash.crashed_at(), now) || is_news;
        }
    }
    for (const wire::trial& trial : received.trials()) {
        is_news = add_trial(record, trial.worker(), trial.begun_at(), now) || is_news;
    }
    return is_news;
}

} // namespace waxwingfall
