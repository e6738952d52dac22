#include "marjoramrail/runtime.h"
#include "runtime/socket_error.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <event2/event.h>

namespace marjoramrail {

using namespace internal;

struct event_loop::impl {
  struct base_deleter {
    void operator()(event_base *Base) const { event_base_free(Base); }
  };
  struct event_deleter {
    void operator()(event *Event) const { event_free(Event); }
  };
  using event_ptr = std::unique_ptr<event, event_deleter>;

  std::unique_ptr<event_base, base_deleter> Base;
  event_ptr Wakeup;
  std::vector<event_ptr> Signals;
  std::function<void()> Terminate;
  std::function<void()> Reload;
  std::vector<std::function<void()>> Deferred;
  bool Terminated = false;
  bool Stopped = false;
};

static instant monotonicNow() {
  // Not CLOCK_MONOTONIC, which does not count the time in which the machine is
  // suspended.
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return instant(std::chrono::seconds(Now.tv_sec) +
                 std::chrono::duration_cast<duration>(
                     std::chrono::nanoseconds(Now.tv_nsec)));
}

static timeval toTimeval(duration Delay) {
  const auto Count = std::max<duration::rep>(Delay.count(), 0);
  return {static_cast<time_t>(Count / 1000000),
          static_cast<suseconds_t>(Count % 1000000)};
}

event_loop::event_loop()
    : Timers(monotonicNow()), Impl(std::make_unique<impl>()) {
  // Writing to a connection that the peer has closed must return an error
  // instead of ending the process with SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  Impl->Base.reset(event_base_new());
  Impl->Wakeup.reset(evtimer_new(
      Impl->Base.get(), [](int, short, void *) {}, nullptr));
}

event_loop::~event_loop() = default;

event_base *event_loop::base() const { return Impl->Base.get(); }

void event_loop::onTerminate(std::function<void()> Callback) {
  Impl->Terminate = std::move(Callback);
  for (const int Signal : {SIGTERM, SIGINT}) {
    Impl->Signals.emplace_back(evsignal_new(
        Impl->Base.get(), Signal,
        [](int, short, void *User) {
          auto &Self = *static_cast<event_loop *>(User);
          if (std::exchange(Self.Impl->Terminated, true))
            return Self.stop();
          Self.Impl->Terminate();
        },
        this));
    evsignal_add(Impl->Signals.back().get(), nullptr);
  }
}

void event_loop::onReload(std::function<void()> Callback) {
  Impl->Reload = std::move(Callback);
  Impl->Signals.emplace_back(evsignal_new(
      Impl->Base.get(), SIGHUP,
      [](int, short, void *User) {
        static_cast<event_loop *>(User)->Impl->Reload();
      },
      this));
  evsignal_add(Impl->Signals.back().get(), nullptr);
}

void event_loop::run() {
  while (!Impl->Stopped) {
    Timers.advance(monotonicNow());
    for (auto &Task : std::exchange(Impl->Deferred, {}))
      Task();
    if (Impl->Stopped)
      break;
    if (!Impl->Deferred.empty()) {
      const timeval AtOnce{0, 0};
      evtimer_add(Impl->Wakeup.get(), &AtOnce);
    } else if (const auto Due = Timers.nextDue()) {
      const timeval Delay = toTimeval(*Due - monotonicNow());
      evtimer_add(Impl->Wakeup.get(), &Delay);
    }
    event_base_loop(Impl->Base.get(), EVLOOP_ONCE);
    Timers.advance(monotonicNow());
  }
  // Allows another call of run().
  Impl->Stopped = false;
}

void event_loop::updateClock() { Timers.observe(monotonicNow()); }

void event_loop::stop() {
  Impl->Stopped = true;
  event_base_loopbreak(Impl->Base.get());
}

void event_loop::defer(std::function<void()> Task) {
  Impl->Deferred.push_back(std::move(Task));
}

} // namespace marjoramrail
