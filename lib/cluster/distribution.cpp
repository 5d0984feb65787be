#include "waxwingfall/cluster/distribution.h"

#include <algorithm>
#include <cassert>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr std::size_t eager_bytes = 1024;
constexpr std::size_t kept_sources = 4;

const marked_content* find_base(const distribution& state, const std::string& digest) {
    if (digest.empty()) {
        return nullptr;
    }
    if (state.held.mark.digest == digest) {
        return &state.held;
    }
    const auto found =
        std::find_if(state.former.begin(), state.former.end(),
                     [&](const marked_content& content) { return content.mark.digest == digest; });
    return found == state.former.end() ? nullptr : &*found;
}

void keep_former(distribution& state) {
    if (state.held.mark.version == 0) {
        return;
    }
    state.former.push_front(std::move(state.held));
    std::size_t bytes = 0;
    std::size_t kept = 0;
    for (const marked_content& content : state.former) {
        bytes += content.bytes.size();
        if (kept == state.policy.kept_contents || bytes > state.policy.kept_bytes) {
            break;
        }
        ++kept;
    }
    state.former.resize(kept);
}

/// Enforces the held content, or refuses it whole.
void judge_held(distribution& state, time_point now, distribution_effects& effects) {
    if (now < state.settled_at || state.held.mark.version <= state.enforced.mark.version) {
        return;
    }
    if (state.refused && state.refused->mark == state.held.mark) {
        return;
    }
    std::string reason = state.rules.why_refused(state.held.bytes);
    if (!reason.empty()) {
        state.refused = refused_content{state.held.mark, std::move(reason)};
        effects.refused = true;
        return;
    }
    state.enforced = state.held;
    state.refused.reset();
    effects.enforced = true;
}

void send_pull(distribution& state, bool whole, time_point now, distribution_effects& effects) {
    if (state.sources.empty()) {
        state.pull.reset();
        return;
    }
    const std::string source = state.sources.front();
    state.sources.pop_front();
    state.pull = pending_pull{state.newest_known, now, whole};
    wire::frame frame;
    wire::pull& pull = *frame.mutable_pull();
    *pull.mutable_want() = to_wire(state.newest_known);
    pull.set_ledger(state.is_ledger);
    if (!whole && state.policy.use_deltas) {
        pull.set_base_digest(state.held.mark.digest);
    }
    effects.messages.push_back({source, frame});
    // The source may be asked again when all others have failed.
    state.sources.push_back(source);
}

/// The delta from a kept base to the held content.
std::optional<std::string> delta_from(const distribution& state, const marked_content& base) {
    if (state.held_by && state.held_by->base_digest == base.mark.digest) {
        return state.held_by->bytes;
    }
    return state.rules.make_delta(base.bytes, state.held.bytes);
}

std::optional<std::string> content_bytes(const distribution& state, const wire::content& content) {
    if (content.base_digest().empty()) {
        return content.whole();
    }
    const marked_content* base = find_base(state, content.base_digest());
    return base == nullptr ? std::nullopt : state.rules.apply_delta(base->bytes, content.delta());
}

} // namespace

distribution start_distribution(const distribution_policy& policy, content_rules rules, bool is_ledger,
                                time_point now) {
    distribution state;
    state.policy = policy;
    state.rules = std::move(rules);
    state.is_ledger = is_ledger;
    state.settled_at = now + policy.settle_time;
    return state;
}

distribution_effects learn_mark(distribution& state, const version_mark& mark, const std::string& source,
                                time_point now) {
    distribution_effects effects;
    const bool same_version = mark.version == state.held.mark.version;
    if (same_version && mark.version != 0 && mark.digest != state.held.mark.digest) {
        ++state.conflicts;
        effects.conflict = true;
        return effects;
    }
    if (mark.version <= state.held.mark.version) {
        return effects;
    }
    if (mark.version > state.newest_known.version) {
        state.newest_known = mark;
        state.sources.clear();
        state.pull.reset();
    }
    if (source.empty() || mark != state.newest_known) {
        return effects;
    }
    if (std::find(state.sources.begin(), state.sources.end(), source) == state.sources.end()) {
        state.sources.push_front(source);
        state.sources.resize(std::min(state.sources.size(), kept_sources));
    }
    if (!state.pull) {
        send_pull(state, false, now, effects);
    }
    return effects;
}

distribution_effects handle_pull(const distribution& state, const wire::pull& pull,
                                 const std::string& reply_to) {
    distribution_effects effects;
    if (state.held.mark.version == 0 || state.held.mark.version < pull.want().version()) {
        return effects;
    }
    wire::frame frame;
    wire::content& content = *frame.mutable_content();
    *content.mutable_what() = to_wire(state.held.mark);
    content.set_ledger(state.is_ledger);
    const marked_content* base = state.policy.use_deltas ? find_base(state, pull.base_digest()) : nullptr;
    const auto delta = base == nullptr ? std::nullopt : delta_from(state, *base);
    if (delta && delta->size() < state.held.bytes.size()) {
        content.set_base_digest(base->mark.digest);
        content.set_delta(*delta);
    } else {
        content.set_whole(state.held.bytes);
    }
    effects.messages.push_back({reply_to, frame});
    return effects;
}

distribution_effects handle_content(distribution& state, const wire::content& content,
                                    const std::string& source, time_point now) {
    const version_mark mark = from_wire(content.what());
    if (mark.version <= state.held.mark.version) {
        return learn_mark(state, mark, source, now);
    }
    const auto bytes = content_bytes(state, content);
    if (!bytes) {
        // The base is not kept here: ask for a delta against content that is, or for the whole.
        return learn_mark(state, mark, source, now);
    }
    if (digest_of(*bytes) == mark.digest) {
        distribution_effects effects = take_content(state, {mark, *bytes}, now);
        if (!content.base_digest().empty()) {
            state.held_by = received_delta{content.base_digest(), content.delta()};
        }
        return effects;
    }
    ++state.bad_contents;
    distribution_effects effects = learn_mark(state, mark, source, now);
    if (state.pull && !state.pull->whole) {
        send_pull(state, true, now, effects);
    }
    return effects;
}

distribution_effects take_content(distribution& state, const marked_content& content, time_point now) {
    distribution_effects effects;
    if (content.mark.version <= state.held.mark.version) {
        return effects;
    }
    if (digest_of(content.bytes) != content.mark.digest) {
        ++state.bad_contents;
        return effects;
    }
    keep_former(state);
    state.held = content;
    state.held_by.reset();
    if (content.mark.version >= state.newest_known.version) {
        state.newest_known = content.mark;
        state.sources.clear();
        state.pull.reset();
    }
    judge_held(state, now, effects);
    effects.spread = true;
    assert(state.enforced.mark.version <= state.held.mark.version && "what is enforced was held first");
    return effects;
}

distribution_effects tick_distribution(distribution& state, time_point now) {
    distribution_effects effects;
    judge_held(state, now, effects);
    if (state.pull && now - state.pull->sent > state.policy.pull_timeout) {
        // The second try asks for the whole: a lost base is one reason for silence.
        send_pull(state, true, now, effects);
    }
    return effects;
}

wire::frame spread_message(const distribution& state) {
    wire::frame frame;
    if (state.policy.eager && state.policy.use_deltas && !state.former.empty()) {
        const marked_content& base = state.former.front();
        const auto delta = delta_from(state, base);
        if (delta && delta->size() <= eager_bytes) {
            wire::content& content = *frame.mutable_content();
            *content.mutable_what() = to_wire(state.held.mark);
            content.set_ledger(state.is_ledger);
            content.set_base_digest(base.mark.digest);
            content.set_delta(*delta);
            return frame;
        }
    }
    *frame.mutable_announce()->mutable_newest() = to_wire(state.held.mark);
    frame.mutable_announce()->set_ledger(state.is_ledger);
    return frame;
}

wire::mark to_wire(const version_mark& mark) {
    wire::mark out;
    out.set_version(mark.version);
    out.set_digest(mark.digest);
    return out;
}

version_mark from_wire(const wire::mark& mark) {
    return {mark.version(), mark.digest()};
}

} // namespace waxwingfall
