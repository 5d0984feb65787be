#include "waxwingfall/cluster/distribution.h"

#include <algorithm>
#include <cassert>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr std::size_t max_eager_delta_bytes = 1024;
constexpr std::size_t max_sources = 4;

const versioned_content* find_base(const distribution& state, const std::string& digest) {
    if (digest.empty()) {
        return nullptr;
    }
    if (state.held.id.digest == digest) {
        return &state.held;
    }
    const auto found =
        std::find_if(state.previous_contents.begin(), state.previous_contents.end(),
                     [&](const versioned_content& content) { return content.id.digest == digest; });
    return found == state.previous_contents.end() ? nullptr : &*found;
}

void retain_held_content(distribution& state) {
    if (state.held.id.version == 0) {
        return;
    }
    state.previous_contents.push_front(std::move(state.held));
    std::size_t bytes = 0;
    std::size_t kept = 0;
    for (const versioned_content& content : state.previous_contents) {
        bytes += content.bytes.size();
        if (kept == state.policy.kept_contents || bytes > state.policy.kept_bytes) {
            break;
        }
        ++kept;
    }
    state.previous_contents.resize(kept);
}

/// Enforces the held content if the rules accept it, or refuses it as a unit.
void validate_held(distribution& state, time_point now, distribution_effects& effects) {
    if (now < state.settled_at || state.held.id.version <= state.enforced.id.version) {
        return;
    }
    if (state.refused && state.refused->id == state.held.id) {
        return;
    }
    std::string reason = state.rules.validation_error(state.held.bytes);
    if (!reason.empty()) {
        state.refused = refused_content{state.held.id, std::move(reason)};
        effects.refused = true;
        return;
    }
    state.enforced = state.held;
    state.refused.reset();
    effects.enforced = true;
}

void send_pull(distribution& state, bool full, time_point now, distribution_effects& effects) {
    if (state.sources.empty()) {
        state.pull.reset();
        return;
    }
    const std::string source = state.sources.front();
    state.sources.pop_front();
    state.pull = pending_pull{state.newest_known, now, full};
    wire::frame frame;
    wire::pull& pull = *frame.mutable_pull();
    *pull.mutable_want() = to_wire(state.newest_known);
    pull.set_ledger(state.is_ledger);
    if (!full && state.policy.use_deltas) {
        pull.set_base_digest(state.held.id.digest);
    }
    effects.messages.push_back({source, frame});
    // The source goes to the back of the queue and is asked again after the others have failed.
    state.sources.push_back(source);
}

/// Returns the delta from a kept base to the held content.
std::optional<std::string> delta_from(const distribution& state, const versioned_content& base) {
    if (state.held_delta && state.held_delta->base_digest == base.id.digest) {
        return state.held_delta->bytes;
    }
    return state.rules.make_delta(base.bytes, state.held.bytes);
}

std::optional<std::string> content_bytes(const distribution& state, const wire::content& content) {
    if (content.base_digest().empty()) {
        return content.whole();
    }
    const versioned_content* base = find_base(state, content.base_digest());
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

distribution_effects learn_version(distribution& state, const version_id& id, const std::string& source,
                                   time_point now) {
    distribution_effects effects;
    const bool same_version = id.version == state.held.id.version;
    if (same_version && id.version != 0 && id.digest != state.held.id.digest) {
        ++state.conflicts;
        effects.conflict = true;
        return effects;
    }
    if (id.version <= state.held.id.version) {
        return effects;
    }
    if (id.version > state.newest_known.version) {
        state.newest_known = id;
        state.sources.clear();
        state.pull.reset();
    }
    if (source.empty() || id != state.newest_known) {
        return effects;
    }
    if (std::find(state.sources.begin(), state.sources.end(), source) == state.sources.end()) {
        state.sources.push_front(source);
        state.sources.resize(std::min(state.sources.size(), max_sources));
    }
    if (!state.pull) {
        send_pull(state, false, now, effects);
    }
    return effects;
}

distribution_effects handle_pull(const distribution& state, const wire::pull& pull,
                                 const std::string& reply_to) {
    distribution_effects effects;
    if (state.held.id.version == 0 || state.held.id.version < pull.want().version()) {
        return effects;
    }
    wire::frame frame;
    wire::content& content = *frame.mutable_content();
    *content.mutable_what() = to_wire(state.held.id);
    content.set_ledger(state.is_ledger);
    const versioned_content* base = state.policy.use_deltas ? find_base(state, pull.base_digest()) : nullptr;
    const auto delta = base == nullptr ? std::nullopt : delta_from(state, *base);
    if (delta && delta->size() < state.held.bytes.size()) {
        content.set_base_digest(base->id.digest);
        content.set_delta(*delta);
    } else {
        content.set_whole(state.held.bytes);
    }
    effects.messages.push_back({reply_to, frame});
    return effects;
}

distribution_effects handle_content(distribution& state, const wire::content& content,
                                    const std::string& source, time_point now) {
    const version_id id = from_wire(content.what());
    if (id.version <= state.held.id.version) {
        return learn_version(state, id, source, now);
    }
    const auto bytes = content_bytes(state, content);
    if (!bytes) {
        // The base is not kept here or the delta doesn't apply: pull a delta against the held content.
        return learn_version(state, id, source, now);
    }
    if (digest_of(*bytes) == id.digest) {
        distribution_effects effects = apply_content(state, {id, *bytes}, now);
        if (!content.base_digest().empty()) {
            state.held_delta = received_delta{content.base_digest(), content.delta()};
        }
        return effects;
    }
    ++state.bad_contents;
    distribution_effects effects = learn_version(state, id, source, now);
    if (state.pull && !state.pull->full) {
        send_pull(state, true, now, effects);
    }
    return effects;
}

distribution_effects apply_content(distribution& state, const versioned_content& content, time_point now) {
    distribution_effects effects;
    if (content.id.version <= state.held.id.version) {
        return effects;
    }
    if (digest_of(content.bytes) != content.id.digest) {
        ++state.bad_contents;
        return effects;
    }
    retain_held_content(state);
    state.held = content;
    state.held_delta.reset();
    if (content.id.version >= state.newest_known.version) {
        state.newest_known = content.id;
        state.sources.clear();
        state.pull.reset();
    }
    validate_held(state, now, effects);
    effects.broadcast = true;
    assert(state.enforced.id.version <= state.held.id.version &&
           "what is enforced is not newer than what is held");
    return effects;
}

distribution_effects tick_distribution(distribution& state, time_point now) {
    distribution_effects effects;
    validate_held(state, now, effects);
    if (state.pull && now - state.pull->sent > state.policy.pull_timeout) {
        // Retries request the full content, because a base that is no longer kept is one reason for a
        // timeout.
        send_pull(state, true, now, effects);
    }
    return effects;
}

wire::frame broadcast_message(const distribution& state) {
    wire::frame frame;
    if (state.policy.eager && state.policy.use_deltas && !state.previous_contents.empty()) {
        const versioned_content& base = state.previous_contents.front();
        const auto delta = delta_from(state, base);
        if (delta && delta->size() <= max_eager_delta_bytes) {
            wire::content& content = *frame.mutable_content();
            *content.mutable_what() = to_wire(state.held.id);
            content.set_ledger(state.is_ledger);
            content.set_base_digest(base.id.digest);
            content.set_delta(*delta);
            return frame;
        }
    }
    *frame.mutable_announce()->mutable_newest() = to_wire(state.held.id);
    frame.mutable_announce()->set_ledger(state.is_ledger);
    return frame;
}

wire::mark to_wire(const version_id& id) {
    wire::mark out;
    out.set_version(id.version);
    out.set_digest(id.digest);
    return out;
}

version_id from_wire(const wire::mark& id) {
    return {id.version(), id.digest()};
}

} // namespace waxwingfall
