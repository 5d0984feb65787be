#include "waxwingfall/cluster/freshness.h"

#include <algorithm>

namespace waxwingfall {

namespace {

/// With jitter 1.5 s at most. The evidence of a bridge is 1.75 s old at most, so that after one question
/// without an answer a node's evidence is 3.75 s old at most, below the usual bound of 5 s.
constexpr milliseconds question_interval{1000};

/// Between questions without valid evidence: a node that has just started serves no keys until it has some.
constexpr milliseconds urgent_question_interval{150};

/// A question without an answer for this long is not awaited, and the next bridge is asked. Round trips
/// within a data centre take below a millisecond; a node short of processor time takes up to 0.7 s.
constexpr milliseconds answer_timeout{500};

/// Late answers are of use, so some questions remain open.
constexpr std::size_t max_open_questions = 4;

/// Evidence for a node that lags behind by more versions than this is dropped; it then refuses keys earlier.
constexpr std::size_t max_evidence = 4;

/// Share of `revoke` at which a node reads the store itself: two questions to two bridges have failed by
/// then, and the time left is enough for several reads.
constexpr int own_read_percent = 60;

/// Spreads the first reads of nodes that start together or lose their bridges together.
constexpr std::uint64_t own_read_spread_ms = 300;
/// From a successful read to the next one: a node that lags behind needs its new configuration, not evidence.
constexpr milliseconds own_read_interval{1000};
constexpr milliseconds first_read_pause{300};
constexpr milliseconds max_read_pause{2000};

constexpr int margin_divisor = 20;
constexpr int percent = 100;

milliseconds age_of(boot_time time, boot_time now) {
    // Rounded up: an age that is too high is harmless.
    return std::chrono::ceil<milliseconds>(now - time);
}

void add_evidence(freshness& state, const freshness_evidence& added, boot_time now) {
    if (added.version > state.newest_seen.version) {
        state.newest_seen = {added.version, now};
    }
    auto& known = state.evidence;
    const bool is_superseded = std::any_of(known.begin(), known.end(), [&](const freshness_evidence& held) {
        return held.version <= added.version && held.time >= added.time;
    });
    if (is_superseded) {
        return;
    }
    std::erase_if(known, [&](const freshness_evidence& held) {
        return held.version >= added.version && held.time <= added.time;
    });
    known.insert(std::upper_bound(known.begin(), known.end(), added), added);
    if (known.size() > max_evidence) {
        known.erase(known.begin());
    }
}

boot_time spread(boot_time now, random_source& random) {
    return now + milliseconds(static_cast<std::int64_t>(random_below(random, own_read_spread_ms)));
}

} // namespace

freshness start_freshness(milliseconds revoke, boot_time now, random_source& random) {
    freshness state;
    state.revoke = revoke;
    state.next_question_at = now;
    state.next_read_at = spread(now, random);
    return state;
}

void record_read(freshness& state, boot_time start, std::uint64_t version, boot_time now) {
    add_evidence(state, {version, start}, now);
}

void record_peer(freshness& state, const wire::freshness_answer& answer, boot_time now) {
    const auto asked =
        std::find_if(state.open_questions.begin(), state.open_questions.end(),
                     [&](const freshness::question& open) { return open.sequence == answer.sequence(); });
    if (asked == state.open_questions.end()) {
        return;
    }
    const boot_time sent_at = asked->sent_at;
    state.open_questions.erase(asked);
    // Compared without a sign, so that no age, however large, makes evidence appear to be from the future.
    if (!answer.has_evidence() || answer.age_ms() >= static_cast<std::uint64_t>(state.revoke.count())) {
        return;
    }
    const milliseconds age(static_cast<std::int64_t>(answer.age_ms()));
    state.is_answered = true;
    add_evidence(state, {answer.version(), sent_at - age}, now);
}

wire::freshness_answer answer_question(const freshness& state, const wire::freshness_question& asked,
                                       boot_time now) {
    wire::freshness_answer answer;
    answer.set_sequence(asked.sequence());
    if (!state.evidence.empty()) {
        const freshness_evidence& newest = state.evidence.back();
        answer.set_has_evidence(true);
        answer.set_version(newest.version);
        answer.set_age_ms(
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, age_of(newest.time, now).count())));
    }
    return answer;
}

std::optional<milliseconds> evidence_age(const freshness& state, std::uint64_t enforced, boot_time now) {
    // Evidence for a version that is older than the enforced one counts: every version after the enforced one
    // was accepted later than that one, and so after the time of the evidence.
    const bool knows_newer = state.newest_seen.version > enforced;
    const auto counts = [&](const freshness_evidence& held) {
        return held.version <= enforced && (!knows_newer || held.time <= state.newest_seen.time);
    };
    const auto latest = std::find_if(state.evidence.rbegin(), state.evidence.rend(), counts);
    return latest == state.evidence.rend() ? std::nullopt : std::optional(age_of(latest->time, now));
}

bool has_recent_evidence(const freshness& state, std::uint64_t enforced, boot_time now) {
    const auto age = evidence_age(state, enforced, now);
    return age && *age < state.revoke * own_read_percent / percent;
}

milliseconds verification_margin(milliseconds revoke) {
    return revoke / margin_divisor;
}

bool is_verified(const freshness& state, std::uint64_t enforced, boot_time now) {
    if (state.revoke.count() == 0) {
        return true;
    }
    const auto age = evidence_age(state, enforced, now);
    return age && *age < state.revoke - verification_margin(state.revoke);
}

std::optional<due_question> next_question(freshness& state, std::size_t bridges, std::uint64_t enforced,
                                          boot_time now, random_source& random) {
    const milliseconds interval =
        is_verified(state, enforced, now) ? question_interval : urgent_question_interval;
    state.next_question_at = std::min(state.next_question_at, now + interval + interval / 2);
    const bool is_overdue = !state.is_answered && !state.open_questions.empty() &&
                            now - state.open_questions.back().sent_at > answer_timeout;
    if (state.revoke.count() == 0 || bridges == 0 || (now < state.next_question_at && !is_overdue)) {
        return std::nullopt;
    }
    if (!state.is_answered) {
        state.next_bridge += 1;
    }
    state.next_bridge %= bridges;
    state.is_answered = false;
    state.next_question_at = now + jittered(interval, random);
    due_question due;
    due.bridge = state.next_bridge;
    due.question.set_sequence(random());
    state.open_questions.push_back({due.question.sequence(), now});
    if (state.open_questions.size() > max_open_questions) {
        state.open_questions.erase(state.open_questions.begin());
    }
    return due;
}

bool start_own_read(freshness& state, std::uint64_t enforced, boot_time now) {
    if (state.revoke.count() == 0 || state.is_reading || now < state.next_read_at ||
        has_recent_evidence(state, enforced, now)) {
        return false;
    }
    state.is_reading = true;
    return true;
}

void end_own_read(freshness& state, bool succeeded, boot_time now, random_source& random) {
    state.is_reading = false;
    if (succeeded) {
        state.failed_reads = 0;
        state.next_read_at = now + jittered(own_read_interval, random);
        return;
    }
    milliseconds pause = first_read_pause;
    for (std::uint32_t failure = 0; failure < state.failed_reads && pause < max_read_pause; ++failure) {
        pause *= 2;
    }
    state.failed_reads += 1;
    state.next_read_at = now + jittered(std::min(pause, max_read_pause), random);
}

} // namespace waxwingfall
