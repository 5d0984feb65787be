#include "waxwingfall/link/event_loop.h"

#include <csignal>
#include <stdexcept>

namespace waxwingfall {

timeval to_timeval(milliseconds duration) {
    constexpr std::int64_t thousand = 1000;
    return {duration.count() / thousand, (duration.count() % thousand) * thousand};
}

struct loop_event::state {
    event* handle = nullptr;
    const event_loop* loop = nullptr;
    std::function<void()> action;
};

void loop_event::state_deleter::operator()(state* value) const {
    event_free(value->handle);
    delete value;
}

event_loop::event_loop() {
    // A write to a connection that the peer has closed must return an error instead of killing the process.
    std::signal(SIGPIPE, SIG_IGN);
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_.reset(event_base_new_with_config(config));
    event_config_free(config);
    if (!base_) {
        throw std::runtime_error("no event base could be created");
    }
}

void event_loop::run() {
    stopped_ = false;
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

bool event_loop::run_for(milliseconds limit) {
    stopped_ = false;
    const timeval delay = to_timeval(limit);
    event_base_loopexit(base_.get(), &delay);
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
    return stopped_;
}

void event_loop::run_guarded(const std::function<void()>& action) const {
    try {
        action();
    } catch (const std::exception& error) {
        if (!exception_handler_) {
            throw;
        }
        exception_handler_(error.what());
    }
}

void event_loop::stop() {
    stopped_ = true;
    event_base_loopbreak(base_.get());
}

loop_event loop_event::make(const event_loop& loop, int descriptor, short flags, const milliseconds* delay,
                            std::function<void()> action) {
    loop_event result;
    result.state_.reset(new state{nullptr, &loop, std::move(action)});
    const auto callback = [](evutil_socket_t, short, void* context) {
        // Copied because the action may destroy its own event.
        const auto action = static_cast<state*>(context)->action;
        static_cast<state*>(context)->loop->run_guarded(action);
    };
    result.state_->handle = event_new(loop.base(), descriptor, flags, callback, result.state_.get());
    if (delay == nullptr) {
        event_add(result.state_->handle, nullptr);
    } else {
        const timeval interval = to_timeval(*delay);
        event_add(result.state_->handle, &interval);
    }
    return result;
}

loop_event loop_event::every(const event_loop& loop, milliseconds period, std::function<void()> action) {
    return make(loop, -1, EV_PERSIST, &period, std::move(action));
}

loop_event loop_event::after(const event_loop& loop, milliseconds delay, std::function<void()> action) {
    return make(loop, -1, 0, &delay, std::move(action));
}

loop_event loop_event::on_signal(const event_loop& loop, int signal, std::function<void()> action) {
    return make(loop, signal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(action));
}

loop_event loop_event::on_readable(const event_loop& loop, int descriptor, std::function<void()> action) {
    return make(loop, descriptor, EV_READ | EV_PERSIST, nullptr, std::move(action));
}

boot_time boottime_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return boot_time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

wall_ms wall_now() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<wall_ms>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

} // namespace waxwingfall
