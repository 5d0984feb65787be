#include "waxwingfall/node/leave_records.h"

#include <utility>

namespace waxwingfall {

namespace {

constexpr milliseconds read_retry_pause{300};
constexpr milliseconds write_retry_pause{1000};

/// The longest time that the store supports; no heartbeat is delayed as long.
constexpr milliseconds record_lifetime{600'000};

} // namespace

leave_records::leave_records(node_context& node, handler on_read)
    : node_(node), on_read_(std::move(on_read)), client_{&node.loop, node.settings.platform},
      key_(left_worker_key(node.settings.environment, node.settings.name)) {
    client_.on_end = [this](const store_call_record& ended) { record_store_call(node_, ended); };
}

void leave_records::tick(time_point now) {
    if (!node_.worker.leaves_known && !read_pending_ && now >= next_read_) {
        read();
    }
    respond(expire_leaves(leaves_, now));
    start_write_if_due(now);
}

void leave_records::read() {
    read_pending_ = true;
    read_value(client_, key_, [this](const store_response& response) {
        read_pending_ = false;
        next_read_ = monotonic_now() + jittered(read_retry_pause, node_.random);
        if (response.status != store_status::ok && response.status != store_status::absent) {
            return;
        }
        const auto left =
            response.status == store_status::ok ? decode_left_worker(response.value.bytes) : std::nullopt;
        if (response.status == store_status::ok && !left) {
            ignore_entry(node_, key_, "not a record of a leave");
        }
        revision_ = response.value.revision;
        if (left) {
            respond(record_stored_leave(leaves_, *left));
        }
        on_read_(left);
    });
}

void leave_records::write(const left_worker& left, responder respond_to_worker) {
    const time_point now = monotonic_now();
    const std::uint64_t id = next_id_++;
    responders_.emplace(id, std::pair(left, std::move(respond_to_worker)));
    respond(add_leave(leaves_, id, left, now));
    start_write_if_due(now);
}

void leave_records::start_write_if_due(time_point now) {
    if (!leaves_.unstored || write_pending_ || now < next_write_) {
        return;
    }
    write_pending_ = true;
    grant_lease(client_, record_lifetime, [this](const store_response& granted) {
        if (granted.status == store_status::ok) {
            write_unstored(granted.lease);
        } else {
            retry_write();
        }
    });
}

void leave_records::write_unstored(const std::string& lease) {
    if (!leaves_.unstored) {
        write_pending_ = false;
        return;
    }
    const left_worker left = *leaves_.unstored;
    write_value(client_, key_, revision_, encode_left_worker(left), lease,
                [this, left](const store_response& response) { finish_write(left, response); });
}

void leave_records::finish_write(const left_worker& left, const store_response& response) {
    if (response.status == store_status::conflict) {
        resolve_conflict(left);
        return;
    }
    if (response.status != store_status::ok) {
        retry_write();
        return;
    }
    write_pending_ = false;
    revision_ = response.value.revision;
    record_stored(left);
    start_write_if_due(monotonic_now());
}

void leave_records::resolve_conflict(const left_worker& left) {
    read_value(client_, key_, [this, left](const store_response& response) {
        if (response.status != store_status::ok && response.status != store_status::absent) {
            retry_write();
            return;
        }
        write_pending_ = false;
        revision_ = response.value.revision;
        if (response.status == store_status::ok && decode_left_worker(response.value.bytes) == left) {
            // An earlier write of the same leave took effect although its response was lost.
            record_stored(left);
        }
        start_write_if_due(monotonic_now());
    });
}

void leave_records::retry_write() {
    write_pending_ = false;
    next_write_ = monotonic_now() + jittered(write_retry_pause, node_.random);
}

void leave_records::record_stored(const left_worker& left) {
    log_leave(event_id::worker_leave_stored, left);
    respond(record_stored_leave(leaves_, left));
}

void leave_records::respond(const leave_responses& responses) {
    for (const std::uint64_t id : responses.acknowledged) {
        const auto report = responders_.extract(id);
        report.mapped().second(true);
    }
    for (const std::uint64_t id : responses.refused) {
        const auto report = responders_.extract(id);
        log_leave(event_id::worker_leave_unacknowledged, report.mapped().first);
        report.mapped().second(false);
    }
}

void leave_records::log_leave(event_id event, const left_worker& left) {
    node_.log.write(event, wall_now(),
                    {{"worker", left.worker_id}, {"incarnation", std::to_string(left.incarnation)}});
}

} // namespace waxwingfall
