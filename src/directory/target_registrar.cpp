#include "marjoramrail/directory.h"

namespace marjoramrail {

static constexpr duration InitialRetryInterval = std::chrono::milliseconds(200);
/// Limits the wait, so that hosts register within about two seconds after an
/// outage.
static constexpr duration MaxRetryInterval = std::chrono::milliseconds(1600);

struct target_registrar::impl {
  impl(timer_service &Timers, platform_api Store, std::string Kind, hooks Hooks)
      : Timers(Timers), Store(std::move(Store)), Kind(std::move(Kind)),
        Hooks(std::move(Hooks)) {}

  void work();
  void read();
  void write();
  void onRead(const platform_reply &Reply);
  void onWritten(const platform_reply &Reply);
  void retry(const std::string &Reason);
  void requestPeerRegistration();
  platform_callback then(void (impl::*Step)(const platform_reply &));
  bool settled() const;
  void notifyStored();

  timer_service &Timers;
  platform_api Store;
  std::string Kind;
  hooks Hooks;
  std::string Name;
  /// The entry that the store shall hold; nothing if it shall hold none.
  std::optional<target_entry> Wanted;
  /// The entry that the store holds, as far as known.
  std::optional<target_entry> Held;
  std::uint64_t Version = 0;
  bool IsReadCurrent = false;
  /// Whether Wanted may be written; until set() or withdraw() the entry is only
  /// read.
  bool WriteEnabled = false;
  bool IsBusy = false;
  bool WroteBefore = false;
  bool HasRead = false;
  int Failures = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

platform_callback
target_registrar::impl::then(void (impl::*Step)(const platform_reply &)) {
  return [this, Step, Alive = Alive](const platform_reply &Reply) {
    if (!*Alive)
      return;
    IsBusy = false;
    (this->*Step)(Reply);
  };
}

bool target_registrar::impl::settled() const {
  return IsReadCurrent && Held == Wanted;
}

void target_registrar::impl::work() {
  if (IsBusy)
    return;
  if (!IsReadCurrent)
    return read();
  if (WriteEnabled && Held != Wanted)
    write();
}

/// The first read may be stale: what it misses shows as a conflict of the first
/// write, and then the entry is read again.
void target_registrar::impl::read() {
  IsBusy = true;
  const auto &Read = HasRead ? Store.Read : Store.ReadStale;
  Read({Kind, Name}, then(&impl::onRead));
}

void target_registrar::impl::onRead(const platform_reply &Reply) {
  if (Reply.Outcome != platform_outcome::Ok &&
      Reply.Outcome != platform_outcome::NotFound)
    return retry(Reply.Reason);
  Failures = 0;
  IsReadCurrent = true;
  Held.reset();
  Version = Reply.Object.Version;
  if (Reply.Outcome == platform_outcome::NotFound)
    Version = 0;
  else if (auto Entry = decodeTarget(Name, Reply.Object.Body))
    Held = *Entry;
  if (!std::exchange(HasRead, true) && Hooks.OnFirstRead)
    Hooks.OnFirstRead(/*Existed=*/Version != 0);
  if (!Held && WriteEnabled && Wanted && Hooks.OnMissing)
    Hooks.OnMissing();
  if (Held && !Held->ByPeer && !WroteBefore && Hooks.OnFound)
    Hooks.OnFound(*Held);
  notifyStored();
  work();
}

/// The entry counts as known to all processes if its service and address match;
/// changes of the draining flag are distributed by faster means.
void target_registrar::impl::notifyStored() {
  if (Held && Wanted && Held->Service == Wanted->Service &&
      Held->Agent == Wanted->Agent)
    Hooks.OnStored(!WroteBefore && !Held->ByPeer);
}

void target_registrar::impl::write() {
  IsBusy = true;
  if (!Wanted) {
    Store.Remove({Kind, Name}, Version, then(&impl::onWritten));
    return;
  }
  platform_write Write;
  Write.Object.Key = {Kind, Name};
  Write.Object.Body = encodeTarget(*Wanted);
  Write.Expected = Version;
  WroteBefore = true;
  Store.Write(Write, then(&impl::onWritten));
}

/// After any result other than Ok the entry is read again: this write or
/// another one may have taken effect.
void target_registrar::impl::onWritten(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Conflict ||
      Reply.Outcome == platform_outcome::NotFound) {
    IsReadCurrent = false;
    return work();
  }
  if (Reply.Outcome != platform_outcome::Ok) {
    IsReadCurrent = false;
    return retry(Reply.Reason);
  }
  Failures = 0;
  Version = Reply.Object.Version;
  // Taken from the response: the wanted entry may have changed meanwhile.
  Held.reset();
  if (auto Entry = decodeTarget(Name, Reply.Object.Body))
    Held = *Entry;
  notifyStored();
  work();
}

void target_registrar::impl::requestPeerRegistration() {
  if (!Hooks.RequestPeerRegistration || !Wanted || Wanted->Draining)
    return;
  Hooks.RequestPeerRegistration(*Wanted);
}

void target_registrar::impl::retry(const std::string &Reason) {
  Hooks.OnFailure(Reason);
  requestPeerRegistration();
  const duration Wait = std::min(
      InitialRetryInterval * (1 << std::min(Failures++, 3)), MaxRetryInterval);
  IsBusy = true;
  Timers.after(Wait, [this, Alive = Alive] {
    if (!*Alive)
      return;
    IsBusy = false;
    work();
  });
}

target_registrar::target_registrar(timer_service &Timers, platform_api Store,
                                   std::string Kind, hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, std::move(Store), std::move(Kind),
                                  std::move(Hooks))) {}

target_registrar::~target_registrar() { *Impl->Alive = false; }

void target_registrar::readExisting(const std::string &Name) {
  Impl->Name = Name;
  Impl->work();
}

void target_registrar::set(const target_entry &Entry) {
  Impl->Name = Entry.Name;
  Impl->Wanted = Entry;
  Impl->WriteEnabled = true;
  Impl->work();
  Impl->notifyStored();
}

void target_registrar::withdraw() {
  Impl->Wanted.reset();
  Impl->WriteEnabled = true;
  Impl->work();
}

void target_registrar::recheck() {
  Impl->IsReadCurrent = false;
  Impl->work();
}

bool target_registrar::settled() const { return Impl->settled(); }

bool target_registrar::hasWritten() const { return Impl->WroteBefore; }

bool target_registrar::knownMissing() const {
  return Impl->IsReadCurrent && !Impl->Held;
}

} // namespace marjoramrail
