#include "fleet/shard_lease.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

namespace {

/// Renewals per lease: two may fail before the lease is lost.
constexpr int RenewalsPerLease = 3;
/// Reads by an observer per lease. Each is one platform read by one node per
/// shard; more reads would find a released lease only slightly sooner.
constexpr int ObservationsPerLease = 6;

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

shard_lease::shard_lease(timer_service &Timers, platform_writer &Writer,
                         shard_lease_settings Settings, hooks Hooks)
    : Timers(Timers), Writer(Writer), Settings(std::move(Settings)),
      Hooks(std::move(Hooks)) {}

bool shard_lease::holds() const { return Held && Timers.now() < Expiry; }

void shard_lease::markLost() {
  Held = false;
  SeenVersion.reset();
  if (Hooks.OnLost)
    Hooks.OnLost();
}

void shard_lease::tick() {
  if (Held && Timers.now() >= Expiry)
    markLost();
  if (Busy)
    return;
  if (!Held) {
    const bool Due = !ObservedAt || Timers.now() - *ObservedAt >=
                                        Settings.Length / ObservationsPerLease;
    if (Candidate && Due)
      observe();
    return;
  }
  if (!Candidate)
    release();
  else if (Timers.now() - RenewedAt >= Settings.Length / RenewalsPerLease)
    renew();
}

void shard_lease::observe() {
  ObservedAt = Timers.now();
  Busy = true;
  Writer.read(keyOf(Settings.Shard), [this](const platform_reply &Reply) {
    Busy = false;
    observed(Reply);
  });
}

void shard_lease::observed(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::NotFound) {
    // An older state may lack an object that this node has seen.
    if (!SeenVersion)
      claim(1, 0);
    return;
  }
  if (Reply.Outcome != platform_outcome::Ok)
    return;
  auto Record = parseLease(Reply.Object.Body);
  const std::uint64_t Current = Reply.Object.Version;
  if (SeenVersion && Current < *SeenVersion)
    return;
  if (!SeenVersion || Current != *SeenVersion) {
    SeenVersion = Current;
    SeenSince = Timers.now();
  }
  if (Record && Hooks.OnSeen)
    Hooks.OnSeen(*Record);
  const bool Free = !Record || Record->Holder.empty();
  if (!Free && Timers.now() - SeenSince < Settings.Length)
    return;
  claim((Record ? Record->Term : 0) + 1, Current);
}

void shard_lease::claim(std::uint64_t Term, std::uint64_t Expected) {
  send({Settings.Name, Term, 0, Settings.Control}, Expected);
}

void shard_lease::renew() {
  lease_record Next = OwnRecord;
  ++Next.Renewals;
  send(std::move(Next), Version);
}

void shard_lease::release() {
  if (!holds())
    return;
  lease_record Free = OwnRecord;
  Free.Holder.clear();
  const std::uint64_t Expected = Version;
  markLost();
  Busy = true;
  Writer.write(keyOf(Settings.Shard), toBody(Free), Expected,
               [this](const write_result &) { Busy = false; });
}

void shard_lease::send(lease_record Record, std::uint64_t Expected) {
  Busy = true;
  const instant SentAt = Timers.now();
  const std::string Body = toBody(Record);
  Writer.write(
      keyOf(Settings.Shard), Body, Expected,
      [this, Record = std::move(Record), SentAt](const write_result &Result) {
        Busy = false;
        writeFinished(Record, SentAt, Result);
      });
}

void shard_lease::writeFinished(const lease_record &Record, instant SentAt,
                                const write_result &Result) {
  if (Result.Outcome == write_outcome::Written) {
    const bool New = !Held;
    Version = Result.Object.Version;
    // The answer may be late: a lease that has expired meanwhile is not held.
    Expiry = SentAt + Settings.Length;
    RenewedAt = SentAt;
    OwnRecord = Record;
    if (New && Timers.now() >= Expiry)
      return;
    Held = true;
    if (Hooks.OnSeen)
      Hooks.OnSeen(OwnRecord);
    if (New && Hooks.OnHeld)
      Hooks.OnHeld(OwnRecord.Term);
    return;
  }
  if (Result.Outcome != write_outcome::Fenced || !Held)
    return;
  // A late copy of this node's own earlier renewal was stored: the lease is
  // still held.
  auto Current = parseLease(Result.Object.Body);
  if (Current && Writer.wrote(Result.Object) &&
      Current->Term == OwnRecord.Term && Current->Holder == OwnRecord.Holder) {
    Version = Result.Object.Version;
    return;
  }
  markLost();
}

} // namespace marjoramrail::internal
