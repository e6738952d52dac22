//===- key_desk.h - This agent's part in the key records --------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_KEY_DESK_H
#define MARJORAMRAIL_SRC_PROXY_KEY_DESK_H

#include "marjoramrail/work.h"

#include <deque>
#include <map>
#include <set>

namespace marjoramrail::internal {

struct key_desk_settings {
  host_id Host{};
  std::uint32_t Incarnation = 0;
  replica_history Past = replica_history::MayHaveRun;
  key_settings Keys;
};

struct key_desk_hooks {
  std::function<void(host_id To, const key_messages &)> Send;
  std::function<void(request_id, const key_result &)> OnResult;
};

/// Joins this agent's claims and the records that it keeps: messages to itself
/// stay here, those to one peer leave together.
class key_desk {
public:
  key_desk(timer_service &Timers, const key_desk_settings &Settings,
           key_desk_hooks Hooks);
  ~key_desk();
  key_desk(const key_desk &) = delete;
  key_desk &operator=(const key_desk &) = delete;

  void takeView(const key_view &View);
  void receive(const key_message &Message);
  void lapsed(std::uint32_t Incarnation);
  bool settled() const;
  std::size_t records() const { return Keeper.records(); }

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
  void giveResults();
  void tick();
  void wake();

  timer_service &Timers;
  key_desk_settings Settings;
  key_desk_hooks Hooks;
  key_replica Keeper;
  key_claims Claims;
  std::map<std::string, claimant> Claimants;
  /// Claims given up before their result came.
  std::set<std::string> Abandoned;
  std::deque<key_message> ToSelf;
  std::map<host_id, key_messages> ToPeers;
  std::vector<std::pair<request_id, key_result>> Ready;
  timer_id Ticker;
  timer_id Waker{};
  bool WakeSet = false;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_KEY_DESK_H
