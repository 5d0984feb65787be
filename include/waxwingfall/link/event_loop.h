#ifndef WAXWINGFALL_LINK_EVENT_LOOP_H
#define WAXWINGFALL_LINK_EVENT_LOOP_H

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <event2/event.h>
#include <sys/time.h>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// The event loop of a process. All callbacks run on the thread that calls `run`.
class event_loop {
public:
    event_loop();
    event_base* base() const { return base_.get(); }

    /// Runs until `stop` is called.
    void run();

    /// Runs until `stop` is called or `limit` elapses. Returns true if it was stopped.
    bool run_for(milliseconds limit);

    void stop();

    /// Sets what is done with an exception that leaves a callback. Without a handler it ends the loop, whose
    /// caller receives it.
    void on_exception(std::function<void(const std::string& what)> handler) {
        exception_handler_ = std::move(handler);
    }

    /// Calls `action` and passes an exception of it to the handler.
    void run_guarded(const std::function<void()>& action) const;

private:
    struct base_deleter {
        void operator()(event_base* base) const { event_base_free(base); }
    };
    std::unique_ptr<event_base, base_deleter> base_;
    bool stopped_ = false;
    std::function<void(const std::string&)> exception_handler_;
};

/// A callback registered with the loop: one-shot after a delay, periodic, on a signal, or when a file
/// descriptor is readable. Destroying the object unregisters the callback.
class loop_event {
public:
    loop_event() = default;

    static loop_event every(const event_loop& loop, milliseconds period, std::function<void()> action);
    static loop_event after(const event_loop& loop, milliseconds delay, std::function<void()> action);
    static loop_event on_signal(const event_loop& loop, int signal, std::function<void()> action);
    static loop_event on_readable(const event_loop& loop, int descriptor, std::function<void()> action);

private:
    struct state;
    struct state_deleter {
        void operator()(state* value) const;
    };
    static loop_event make(const event_loop& loop, int descriptor, short flags, const milliseconds* delay,
                           std::function<void()> action);
    std::unique_ptr<state, state_deleter> state_;
};

/// Converts a duration to the type that libevent takes.
timeval to_timeval(milliseconds duration);

/// The current monotonic time, to be passed to decision functions, which never read a clock themselves.
inline time_point monotonic_now() {
    return std::chrono::steady_clock::now();
}

/// The current time since the start of the machine, suspensions included.
boot_time boottime_now();

/// The current wall-clock time, for keys and records that leave the process.
wall_ms wall_now();

} // namespace waxwingfall

#endif
