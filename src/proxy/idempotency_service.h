//===- idempotency_service.h - Claims and records of keys -------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_IDEMPOTENCY_SERVICE_H
#define MARJORAMRAIL_SRC_PROXY_IDEMPOTENCY_SERVICE_H

#include "marjoramrail/work.h"

#include <deque>
#include <map>
#include <set>

namespace marjoramrail::internal {

struct idempotency_settings {
  host_id Host{};
  std::uint32_t Incarnation = 0;
  replica_history History = replica_history::MayHaveRun;
  key_settings Keys;
};

struct idempotency_hooks {
  std::function<void(host_id To, const key_messages &)> Send;
  std::function<void(request_id, const key_result &)> OnResult;
};

/// Combines the two roles of an agent in the handling of idempotency keys: it
/// claims keys for requests, and it is a replica that stores the records of
/// some keys. Messages between the two are delivered locally; messages to one
/// peer are sent in one batch.
class idempotency_service {
public:
  idempotency_service(timer_service &Timers,
                      const idempotency_settings &Settings,
                      idempotency_hooks Hooks);
  ~idempotency_service();
  idempotency_service(const idempotency_service &) = delete;
  idempotency_service &operator=(const idempotency_service &) = delete;

  void setView(const key_view &View);
  void receive(const key_message &Message);
  void continueAs(std::uint32_t Incarnation);
  bool settled() const;
  std::size_t records() const { return Replica.records(); }

  /// Requests the claim of \p Key. The result is reported by OnResult, never
  /// from within this call.
  void claim(const std::string &Key, request_id Id);
  /// True if no replica can still hold a claim of this agent for \p Key.
  bool ended(const std::string &Key) const;
  /// Ends the claim of \p Id, after it was granted or while its result is
  /// pending. \p State and \p Outcome are stored if it was granted.
  void settle(const std::string &Key, request_id Id, key_state State,
              const std::string &Outcome);

private:
  struct claimant {
    request_id Id{};
    bool Granted = false;
  };

  void post(key_messages Messages);
  void deliver();
  void reportResults();
  void tick();
  void scheduleDelivery();

  timer_service &Timers;
  idempotency_settings Settings;
  idempotency_hooks Hooks;
  key_replica Replica;
  key_claims Claims;
  std::map<std::string, claimant> Claimants;
  /// Keys whose claim was given up before its result was known.
  std::set<std::string> Abandoned;
  std::deque<key_message> ToSelf;
  std::map<host_id, key_messages> ToPeers;
  std::vector<std::pair<request_id, key_result>> PendingResults;
  timer_id TickTimer;
  timer_id DeliveryTimer{};
  bool DeliveryScheduled = false;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_IDEMPOTENCY_SERVICE_H
