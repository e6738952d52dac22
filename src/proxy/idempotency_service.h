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
  keeper_past Past = keeper_past::MayHaveRun;
  key_settings Keys;
};

struct idempotency_hooks {
  std::function<void(host_id To, const key_messages &)> Send;
  std::function<void(request_id, const key_result &)> OnResult;
};

/// Joins this agent's claims and the records that it keeps: messages to itself
/// stay here, those to one peer leave together.
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
  void lapsed(std::uint32_t Incarnation);
  bool settled() const;
  std::size_t records() const { return Replica.records(); }

  /// The result comes by OnResult, never from within this call.
  void claim(const std::string &Key, request_id Id);
  /// True if no keeper can still hold a claim of this agent for \p Key.
  bool ended(const std::string &Key) const;
  /// Ends the claim of \p Id: after a Run, or while it is still asked.
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
  key_keeper Replica;
  key_claims Claims;
  std::map<std::string, claimant> Claimants;
  /// Claims given up before their result came.
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
