#include "waxwingfall/node/leave_records.h"

#include <utility>

namespace waxwingfall {

namespace {

constexpr milliseconds read_retry_pause{300};
constexpr milliseconds write_retry_pause{1000};

/// A worker waits a second for the acknowledgement of its report.
constexpr milliseconds max_acknowledgement_delay{400};

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
    if (unwritten_ && !write_pending_ && now >= next_write_) {
        start_write();
    }
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
        on_read_(left);
    });
}

void leave_records::write(const left_worker& left, std::function<void()> done) {
    acknowledge();
    if (stored_ == left) {
        done();
        return;
    }
    unwritten_ = left;
    done_ = std::move(done);
    acknowledgement_ = loop_event::after(node_.loop, max_acknowledgement_delay, [this] { acknowledge(); });
    if (!write_pending_) {
        start_write();
    }
}

void leave_records::start_write() {
    write_pending_ = true;
    grant_lease(client_, record_lifetime, [this, left = *unwritten_](const store_response& granted) {
        if (granted.status != store_status::ok) {
            finish_write(false);
            return;
        }
        overwrite_value(client_, key_, encode_left_worker(left), granted.lease,
                        [this, left](const store_response& response) {
                            const bool is_stored = response.status == store_status::ok;
                            stored_ = is_stored ? std::optional(left) : stored_;
                            finish_write(is_stored);
                        });
    });
}

void leave_records::finish_write(bool is_stored) {
    write_pending_ = false;
    if (!is_stored) {
        next_write_ = monotonic_now() + jittered(write_retry_pause, node_.random);
        return;
    }
    if (unwritten_ == stored_) {
        unwritten_.reset();
        acknowledge();
    }
}

void leave_records::acknowledge() {
    acknowledgement_ = {};
    if (const auto done = std::exchange(done_, nullptr)) {
        done();
    }
}

} // namespace waxwingfall
