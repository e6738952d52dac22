//===- directory_cluster.h - Several balancers with one store ---*- C++ -*-===//

#ifndef MARJORAMRAIL_TEST_DIRECTORY_DIRECTORY_CLUSTER_H
#define MARJORAMRAIL_TEST_DIRECTORY_DIRECTORY_CLUSTER_H

#include "directory/site_store.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::testing {

/// Decodes {"version": 3, "services": ["ledger"]} as a table with one route.
inline result<route_table> decodeTable(const platform_object &Object) {
  const auto Json = nlohmann::json::parse(Object.Body, nullptr, false);
  if (!Json.is_object())
    return fail(step::ValidateObject, Object.Key.Name, "no object");
  return tableOf(Json["version"],
                 Json["services"].get<std::vector<std::string>>());
}

inline std::string tableBody(std::uint64_t Version,
                             const std::vector<std::string> &Services) {
  return nlohmann::json{{"version", Version}, {"services", Services}}.dump();
}

inline endpoint addressOf(unsigned Number) {
  return {0x0a000200 + Number, 7000};
}

/// The directories of several balancers with one store, connected by a
/// simulated network with a delay of 2 ms.
class directory_cluster {
public:
  struct balancer {
    std::unique_ptr<store_faults> Faults = std::make_unique<store_faults>();
    std::unique_ptr<directory> Directory;
    std::string Zone;
    bool Cut = false;
  };

  /// What the balancers have sent to each other, headers not included.
  struct traffic {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
    /// The part that crossed the border of a zone.
    std::uint64_t BytesBetweenZones = 0;
  };

  /// How long a balancer waits for a copy from a peer that does not answer.
  static constexpr duration ListTimeout = std::chrono::seconds(1);

  timer_service Timers;
  fake_platform Store{Timers};
  std::map<unsigned, balancer> Balancers;
  /// The number of complete lists copied from peers.
  int Copies = 0;
  /// Calls to the store by verb and kind.
  std::map<std::string, int> CallsByPurpose;
  traffic Sync;
  traffic Copied;
  /// The number of times that each balancer compared the record of services.
  std::map<unsigned, int> Compared;
  /// The configurations that came into effect on each balancer.
  std::map<unsigned, std::vector<routes_progress>> Activated;
  /// The events that each balancer has logged.
  std::map<unsigned, std::vector<std::pair<event_kind, std::string>>> Events;
  /// How often each balancer's set of evacuated zones changed.
  std::map<unsigned, int> EvacuationChanges;

  void start(unsigned Number, const std::vector<endpoint> &Seeds = {},
             const std::string &Zone = "brugge") {
    balancer &Self = Balancers[Number];
    Self.Zone = Zone;
    directory_settings Settings;
    Settings.Name = "balancer-" + std::to_string(Number);
    Settings.Zone = Zone;
    Settings.Self = addressOf(Number);
    Settings.Seeds = Seeds;
    directory_hooks Hooks;
    Hooks.ReadRoutes = [](const platform_object &Object) {
      return readerOf(decodeTable, Object);
    };
    Hooks.Yield = [this](const std::function<void()> &Task) {
      Timers.after(std::chrono::milliseconds(1), Task);
    };
    Hooks.OnRules = [](const rule_changes &) {};
    Hooks.OnTargets = [] {};
    Hooks.OnEvacuations = [this, Number] { ++EvacuationChanges[Number]; };
    Hooks.OnCallback = [this, Number](const callback_timing &Turn) {
      Compared[Number] += Turn.What == callback_kind::CompareRecord;
    };
    Hooks.OnEvent = [this, Number](event_kind What, const std::string &Why) {
      Events[Number].emplace_back(What, Why);
    };
    Hooks.OnRoutesProgress = [this, Number](event_kind What,
                                            const routes_progress &Step) {
      if (What == event_kind::RoutesActivated)
        Activated[Number].push_back(Step);
    };
    Hooks.Send = [this, Number](const endpoint &To,
                                std::span<const std::uint8_t> Bytes) {
      send(Number, To, {Bytes.begin(), Bytes.end()});
    };
    Hooks.ListFromPeer = [this, Zone](const endpoint &Peer,
                                      const std::string &Kind,
                                      const platform_callback &Done) {
      list(Zone, Peer, Kind, Done);
    };
    Self.Directory = std::make_unique<directory>(
        Timers,
        directory_platform{
            countedStore(*Self.Faults, Settings.RoutesKind),
            countedStore(*Self.Faults, Settings.SiteKind),
            countedStore(*Self.Faults, Settings.EvacuationsKind)},
        Settings, Hooks);
    Self.Directory->start();
  }

  /// Keeps the balancer's fault settings, which its pending calls still use.
  void stop(unsigned Number) {
    StoppedFaults.push_back(std::move(Balancers.at(Number).Faults));
    Balancers.erase(Number);
  }

  directory &at(unsigned Number) { return *Balancers.at(Number).Directory; }

  void pass(duration Time) { Timers.advance(Timers.now() + Time); }

  void configure(std::uint64_t Version,
                 const std::vector<std::string> &Services) {
    Store.put("config", "main", tableBody(Version, Services));
  }

  void evacuate(const std::string &Zone) {
    Store.put("evacuations", Zone, "{}");
  }

  void endEvacuation(const std::string &Zone) {
    Store.erase("evacuations", Zone);
  }

  /// The number of balancers that have \p Zone on record as evacuated.
  std::size_t evacuatedOn(const std::string &Zone) const {
    return static_cast<std::size_t>(std::count_if(
        Balancers.begin(), Balancers.end(), [&](const auto &Balancer) {
          return Balancer.second.Directory->evacuatedZones().contains(Zone);
        }));
  }

  void addTarget(const std::string &Name) {
    const target_entry Target{Name,     "ledger", {0x0a000301, 700},
                              "brugge", 4,        false};
    Store.put("marjoramrail", "target." + Name, encodeTarget(Target));
  }

private:
  std::vector<std::unique_ptr<store_faults>> StoppedFaults;

  platform_api countedStore(store_faults &Faults, const std::string &Kind) {
    platform_api Api = siteStore(Store, Faults, Kind);
    Api.List = [this, List = Api.List](const std::string &Kind,
                                       platform_callback Done) {
      ++CallsByPurpose["list " + Kind];
      List(Kind, std::move(Done));
    };
    Api.ReadStale = [this, Read = Api.ReadStale](const object_key &Key,
                                                 platform_callback Done) {
      ++CallsByPurpose["stale read " + Key.Kind];
      Read(Key, std::move(Done));
    };
    Api.Watch = [this, Kind, Watch = Api.Watch](std::uint64_t Since,
                                                duration Wait,
                                                platform_callback Done) {
      ++CallsByPurpose["watch " + Kind];
      Watch(Since, Wait, std::move(Done));
    };
    Api.Write = [this, Write = Api.Write](const platform_write &Call,
                                          platform_callback Done) {
      const std::string &Name = Call.Object.Key.Name;
      ++CallsByPurpose["write " + Name.substr(0, Name.find('.'))];
      Write(Call, std::move(Done));
    };
    return Api;
  }

  static void count(traffic &Traffic, std::size_t Bytes, bool IsBetweenZones) {
    ++Traffic.Messages;
    Traffic.Bytes += Bytes;
    if (IsBetweenZones)
      Traffic.BytesBetweenZones += Bytes;
  }

  unsigned numberOf(const endpoint &Address) {
    return Address.Address - addressOf(0).Address;
  }

  void send(unsigned From, const endpoint &To,
            std::vector<std::uint8_t> Bytes) {
    const auto Receiver = Balancers.find(numberOf(To));
    count(Sync, Bytes.size(),
          Receiver != Balancers.end() &&
              Receiver->second.Zone != Balancers.at(From).Zone);
    Timers.after(std::chrono::milliseconds(2),
                 [this, From, To, Bytes = std::move(Bytes)] {
                   const auto Peer = Balancers.find(numberOf(To));
                   const auto Sender = Balancers.find(From);
                   if (Peer == Balancers.end() || Peer->second.Cut ||
                       Sender == Balancers.end() || Sender->second.Cut)
                     return;
                   Peer->second.Directory->input(addressOf(From), Bytes);
                 });
  }

  void list(const std::string &Zone, const endpoint &Peer,
            const std::string &Kind, const platform_callback &Done) {
    ++Copies;
    Timers.after(std::chrono::milliseconds(5), [this, Zone, Peer, Kind, Done] {
      platform_reply Reply;
      const auto Found = Balancers.find(numberOf(Peer));
      // A peer that is cut off does not refuse the connection.
      if (Found != Balancers.end() && Found->second.Cut) {
        Timers.after(ListTimeout, [Done] { Done(platform_reply()); });
        return;
      }
      if (Found != Balancers.end())
        if (const auto Text = Found->second.Directory->serve(Kind)) {
          count(Copied, Text->size(), Found->second.Zone != Zone);
          if (decodeObjectList(*Text, Reply))
            Reply.Outcome = platform_outcome::Ok;
        }
      Done(Reply);
    });
  }
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_DIRECTORY_DIRECTORY_CLUSTER_H
