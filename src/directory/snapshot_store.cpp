#include "directory/snapshot_store.h"

namespace marjoramrail::internal {

/// Wait after a failed call.
static constexpr duration RetryInterval = std::chrono::seconds(2);

static object_key snapshotKey() { return {SnapshotKind, SnapshotName}; }

//===----------------------------------------------------------------------===//
// snapshot_reader
//===----------------------------------------------------------------------===//

snapshot_reader::snapshot_reader(platform_api Routes, platform_api Site,
                                 std::string RoutesKind, std::string SiteKind,
                                 hooks Hooks)
    : Routes(std::move(Routes)), Site(std::move(Site)),
      RoutesKind(std::move(RoutesKind)), SiteKind(std::move(SiteKind)),
      Hooks(std::move(Hooks)) {}

snapshot_reader::~snapshot_reader() { *Alive = false; }

void snapshot_reader::listRoutes(platform_callback Done) {
  list({&site_snapshot::Routes, std::move(Done)});
}

void snapshot_reader::listSite(platform_callback Done) {
  list({&site_snapshot::Site, std::move(Done)});
}

/// A snapshot that is seconds old serves as well: it states what it is of.
void snapshot_reader::list(request Request) {
  Waiting.push_back(std::move(Request));
  if (Waiting.size() > 1)
    return;
  Site.ReadStale(snapshotKey(),
                 [this, Alive = Alive](const platform_reply &Reply) {
                   if (*Alive)
                     onRead(Reply);
                 });
}

std::optional<site_snapshot>
snapshot_reader::decode(const platform_reply &Reply) const {
  if (Reply.Outcome != platform_outcome::Ok)
    return std::nullopt;
  std::optional<site_snapshot> Snapshot;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_ASSIGN(Snapshot,
                      decodeSnapshot(Reply.Object, RoutesKind, SiteKind));
    return {};
  });
  if (!Failure)
    return Snapshot;
  Hooks.OnRefused(toText(*Failure));
  return std::nullopt;
}

void snapshot_reader::onRead(const platform_reply &Reply) {
  const auto Snapshot = decode(Reply);
  const bool IsStoreLost = Reply.Outcome == platform_outcome::Unavailable;
  for (const request &Request : std::exchange(Waiting, {})) {
    if (IsStoreLost) {
      Request.Done(Reply);
      continue;
    }
    if (!Snapshot || ((*Snapshot).*Request.Kind).Version == 0) {
      requestList(Request);
      continue;
    }
    const kind_snapshot &Kind = (*Snapshot).*Request.Kind;
    platform_reply List;
    List.Outcome = platform_outcome::Ok;
    List.StoreVersion = Kind.Version;
    List.Objects = Kind.Objects;
    List.IsUndated = true;
    Request.Done(List);
  }
}

void snapshot_reader::requestList(const request &Request) const {
  if (Request.Kind == &site_snapshot::Site)
    Site.List(SiteKind, Request.Done);
  else
    Routes.List(RoutesKind, Request.Done);
}

//===----------------------------------------------------------------------===//
// snapshot_writer
//===----------------------------------------------------------------------===//

platform_callback
snapshot_writer::then(std::function<void(const platform_reply &)> Step) {
  CallPending = true;
  return [this, Step = std::move(Step),
          Alive = Alive](const platform_reply &Reply) {
    if (!*Alive)
      return;
    CallPending = false;
    Step(Reply);
  };
}

void snapshot_writer::save(std::uint64_t Change,
                           const std::function<site_snapshot()> &Make) {
  if (CallPending || Change == SavedChange || Timers.now() < NextCall)
    return;
  if (!Version)
    return read();
  const site_snapshot Snapshot = Make();
  if (Snapshot.Site.Version >= StoredSite)
    write(Change, Snapshot);
}

void snapshot_writer::read() {
  Store.Read(snapshotKey(),
             then([this](const platform_reply &Reply) { onRead(Reply); }));
}

void snapshot_writer::onRead(const platform_reply &Reply) {
  if (Reply.Outcome != platform_outcome::Ok &&
      Reply.Outcome != platform_outcome::NotFound) {
    NextCall = Timers.now() + RetryInterval;
    return;
  }
  const bool Exists = Reply.Outcome == platform_outcome::Ok;
  Version = Exists ? Reply.Object.Version : 0;
  StoredSite = 0;
  // One that cannot be decoded is replaced.
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Snapshot, decodeSnapshot(Reply.Object, "", ""));
    StoredSite = Snapshot.Site.Version;
    return {};
  });
  static_cast<void>(Failure);
}

void snapshot_writer::write(std::uint64_t Change,
                            const site_snapshot &Snapshot) {
  platform_write Write;
  Write.Object.Key = snapshotKey();
  Write.Object.Body = encodeSnapshot(Snapshot);
  Write.Expected = *Version;
  NextCall = Timers.now() + WriteInterval;
  if (Write.Object.Body.size() > MaxBytes)
    return;
  Store.Write(Write, then([this, Change, Site = Snapshot.Site.Version](
                              const platform_reply &Reply) {
                Version.reset();
                if (Reply.Outcome != platform_outcome::Ok)
                  return;
                Version = Reply.Object.Version;
                StoredSite = Site;
                SavedChange = Change;
              }));
}

} // namespace marjoramrail::internal
