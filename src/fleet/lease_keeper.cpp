#include "fleet/lease_keeper.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

namespace {

/// Renewals per lease: two may fail before the lease is lost.
constexpr int RenewalsPerLease = 3;
/// Looks of an observer per lease. Each is a read at the platform, by one node
/// per shard; more would find a lease that was given back a little sooner.
constexpr int LooksPerLease = 6;

object_key keyOf(std::uint32_t Shard) {
  return {"lease", "shard-" + std::to_string(Shard)};
}

} // namespace

std::string toBody(const lease_record &Record) {
  return json{{"holder", Record.Holder},
              {"term", Record.Term},
              {"renewals", Record.Renewals},
              {"control", toText(Record.Control)}}
      .dump();
}

result<lease_record> parseLease(const std::string &Body) {
  const json Parsed = json::parse(Body, nullptr, false);
  try {
    lease_record Record;
    Parsed.at("holder").get_to(Record.Holder);
    Parsed.at("term").get_to(Record.Term);
    Parsed.at("renewals").get_to(Record.Renewals);
    auto Control = parseEndpoint(Parsed.at("control").get<std::string>());
    if (!Control)
      return Control.error();
    Record.Control = *Control;
    return Record;
  } catch (const json::exception &Fault) {
    return fail(step::AcquireLease, "lease", Fault.what());
  }
}

lease_keeper::lease_keeper(timer_service &Timers, platform_writer &Writer,
                           lease_settings Settings, hooks Hooks)
    : Timers(Timers), Writer(Writer), Settings(std::move(Settings)),
      Hooks(std::move(Hooks)) {}

bool lease_keeper::holds() const { return Held && Timers.now() < Expiry; }

void lease_keeper::lose() {
  Held = false;
  SeenVersion.reset();
  if (Hooks.OnLost)
    Hooks.OnLost();
}

void lease_keeper::tick() {
  if (Held && Timers.now() >= Expiry)
    lose();
  if (Busy)
    return;
  if (!Held) {
    const bool Due = !ObservedAt || Timers.now() - *ObservedAt >=
                                        Settings.Length / LooksPerLease;
    if (WantedHere && Due)
      observe();
    return;
  }
  if (!WantedHere)
    release();
  else if (Timers.now() - RenewedAt >= Settings.Length / RenewalsPerLease)
    renew();
}

void lease_keeper::observe() {
  ObservedAt = Timers.now();
  Busy = true;
  Writer.read(keyOf(Settings.Shard), [this](const platform_reply &Reply) {
    Busy = false;
    saw(Reply);
  });
}

void lease_keeper::saw(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::NotFound) {
    // An older state may lack an object that we have seen.
    if (!SeenVersion)
      claim(1, 0);
    return;
  }
  if (Reply.Outcome != platform_outcome::Ok)
    return;
  auto Record = parseLease(Reply.Object.Body);
  const std::uint64_t Stands = Reply.Object.Version;
  if (SeenVersion && Stands < *SeenVersion)
    return;
  if (!SeenVersion || Stands != *SeenVersion) {
    SeenVersion = Stands;
    SeenSince = Timers.now();
  }
  if (Record && Hooks.OnSeen)
    Hooks.OnSeen(*Record);
  const bool Free = !Record || Record->Holder.empty();
  if (!Free && Timers.now() - SeenSince < Settings.Length)
    return;
  claim((Record ? Record->Term : 0) + 1, Stands);
}

void lease_keeper::claim(std::uint64_t Term, std::uint64_t Expected) {
  send({Settings.Name, Term, 0, Settings.Control}, Expected);
}

void lease_keeper::renew() {
  lease_record Next = Mine;
  ++Next.Renewals;
  send(std::move(Next), Version);
}

void lease_keeper::release() {
  if (!holds())
    return;
  lease_record Free = Mine;
  Free.Holder.clear();
  const std::uint64_t Expected = Version;
  lose();
  Busy = true;
  Writer.write(keyOf(Settings.Shard), toBody(Free), Expected,
               [this](const write_result &) { Busy = false; });
}

void lease_keeper::send(lease_record Record, std::uint64_t Expected) {
  Busy = true;
  const instant SentAt = Timers.now();
  const std::string Body = toBody(Record);
  Writer.write(
      keyOf(Settings.Shard), Body, Expected,
      [this, Record = std::move(Record), SentAt](const write_result &Result) {
        Busy = false;
        sent(Record, SentAt, Result);
      });
}

void lease_keeper::sent(const lease_record &Record, instant SentAt,
                        const write_result &Result) {
  if (Result.Outcome == write_outcome::Written) {
    const bool New = !Held;
    Version = Result.Object.Version;
    // The answer may be late: a lease that has run out meanwhile is not held.
    Expiry = SentAt + Settings.Length;
    RenewedAt = SentAt;
    Mine = Record;
    if (New && Timers.now() >= Expiry)
      return;
    Held = true;
    if (Hooks.OnSeen)
      Hooks.OnSeen(Mine);
    if (New && Hooks.OnHeld)
      Hooks.OnHeld(Mine.Term);
    return;
  }
  if (Result.Outcome != write_outcome::Fenced || !Held)
    return;
  // Our own late copy of an earlier renewal: the lease is still ours.
  auto Stands = parseLease(Result.Object.Body);
  if (Stands && Writer.wrote(Result.Object) && Stands->Term == Mine.Term &&
      Stands->Holder == Mine.Holder) {
    Version = Result.Object.Version;
    return;
  }
  lose();
}

} // namespace marjoramrail::internal
