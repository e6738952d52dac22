#include "balancer/owner_cache.h"
#include "balancer/service_table.h"
#include "balancer/unresponsive_agents.h"
#include "marjoramrail/balancer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace marjoramrail {

using namespace internal;

struct balancer_core::impl {
  balancer_settings Settings;
  balancer_hooks Hooks;
  service_table Services;
  owner_cache Cache;
  unresponsive_agents Unresponsive;
  balancer_counters Counters;
  std::optional<instant> LastFleetContact;
  std::array<std::uint8_t, MaxRoutedBytes> Buffer{};

  impl(const balancer_settings &Settings, balancer_hooks Hooks)
      : Settings(Settings), Hooks(std::move(Hooks)),
        Cache(Settings.CachedOwners) {}

  bool isStale(instant Now) const;
  packet_fault handleOwnerNotice(const endpoint &From, bytes_view Bytes);
  packet_fault handleUnresponsiveNotice(const endpoint &From, bytes_view Bytes,
                                        instant Now);
  packet_fault route(bytes_view Bytes, instant Now);
  packet_fault send(const service_router &Router, const owner_list &Owners,
                    bytes_view Bytes, instant Now);
  std::size_t cachedPosition(const service_router &Router,
                             const owner_list &Owners, const flow_key &Flow);
};

bool balancer_core::impl::isStale(instant Now) const {
  return !LastFleetContact || Now - *LastFleetContact > Settings.StaleAfter;
}

//===----------------------------------------------------------------------===//
// Notices from agents
//===----------------------------------------------------------------------===//

/// An owner notice is accepted only from the agent that it names, and only if
/// that agent is a target of the service. Otherwise a forged notice could
/// redirect a flow's packets.
packet_fault balancer_core::impl::handleOwnerNotice(const endpoint &From,
                                                    bytes_view Bytes) {
  owner_notice Notice;
  const packet_fault Fault = decodeOwnerNotice(Bytes, Notice);
  if (Fault != packet_fault::None)
    return Fault;
  const routed_service *Service = Services.findById(Notice.Service);
  if (Service == nullptr)
    return packet_fault::UnknownService;
  if (Service->Address != Notice.Flow.Service)
    return packet_fault::ServiceMismatch;
  if (From != Notice.Owner)
    return packet_fault::ForeignSender;
  const target *Owner = Service->Router.findAgent(Notice.Owner);
  if (Owner == nullptr)
    return packet_fault::ForeignSender;
  Cache.store(Notice.Flow, Owner->Id);
  ++Counters.NoticesAccepted;
  return packet_fault::None;
}

/// Accepted only from agents of the service, and only about their peers.
packet_fault balancer_core::impl::handleUnresponsiveNotice(const endpoint &From,
                                                           bytes_view Bytes,
                                                           instant Now) {
  unresponsive_notice Notice;
  const packet_fault Fault = decodeUnresponsiveNotice(Bytes, Notice);
  if (Fault != packet_fault::None)
    return Fault;
  const routed_service *Service = Services.findById(Notice.Service);
  if (Service == nullptr)
    return packet_fault::UnknownService;
  if (From == Notice.Agent || !Service->Router.findAgent(From) ||
      !Service->Router.findAgent(Notice.Agent))
    return packet_fault::ForeignSender;
  Unresponsive.add(Notice.Agent, Now);
  ++Counters.NoticesAccepted;
  return packet_fault::None;
}

//===----------------------------------------------------------------------===//
// Callers' packets
//===----------------------------------------------------------------------===//

/// Position in \p Owners of the cached owner, or 0 if there is none.
std::size_t balancer_core::impl::cachedPosition(const service_router &Router,
                                                const owner_list &Owners,
                                                const flow_key &Flow) {
  const std::optional<host_id> CachedOwner = Cache.find(Flow);
  if (!CachedOwner)
    return 0;
  for (std::size_t I = 0; I < Owners.size(); ++I) {
    if (Router.targetAt(Owners[I]).Id != *CachedOwner)
      continue;
    ++Counters.FromCache;
    return I;
  }
  return 0;
}

packet_fault balancer_core::impl::route(bytes_view Bytes, instant Now) {
  if (isRouted(Bytes))
    return packet_fault::BadMagic;
  tcp_packet Packet;
  const packet_fault Fault = parseTcpPacket(Bytes, Packet);
  if (Fault != packet_fault::None)
    return Fault;
  // A packet with a service as its own caller would cause an endless loop of
  // answers.
  if (Packet.Flow.Caller == Packet.Flow.Service)
    return packet_fault::ForeignSender;
  const routed_service *Service = Services.findByAddress(Packet.Flow.Service);
  if (Service == nullptr)
    return packet_fault::UnknownService;
  const service_router &Router = Service->Router;
  const bool Opens = Packet.opensFlow();
  owner_list Owners =
      Opens ? Router.choices(Packet.Flow) : Router.owners(Packet.Flow);
  if (Owners.empty())
    return packet_fault::NoTarget;
  if (!Opens)
    Owners.moveToFront(cachedPosition(Router, Owners, Packet.Flow));
  Unresponsive.demote(Router, Owners, Now);
  ++(Opens ? Counters.New : Counters.Established);
  return send(Router, Owners, Bytes, Now);
}

packet_fault balancer_core::impl::send(const service_router &Router,
                                       const owner_list &Owners,
                                       bytes_view Bytes, instant Now) {
  routed_packet Routed;
  Routed.Service = Router.id();
  Routed.Version = Router.version();
  Routed.Balancer = Settings.Self;
  if (isStale(Now))
    Routed.Flags |= static_cast<std::uint8_t>(routed_flag::Stale);
  Routed.Count = static_cast<std::uint8_t>(Owners.size());
  for (std::size_t I = 0; I < Owners.size(); ++I)
    Routed.Owners[I] = Router.targetAt(Owners[I]).Agent;
  Routed.Packet = Bytes;
  const std::size_t Size = encodeRouted(Routed, Buffer);
  Hooks.Send(Routed.Owners[0], bytes_view(Buffer.data(), Size));
  return packet_fault::None;
}

//===----------------------------------------------------------------------===//
// balancer_core
//===----------------------------------------------------------------------===//

balancer_core::balancer_core(const balancer_settings &Settings,
                             balancer_hooks Hooks)
    : Impl(std::make_unique<impl>(Settings, std::move(Hooks))) {}

balancer_core::~balancer_core() = default;

view_outcome balancer_core::setView(const service_view &View) {
  return Impl->Services.set(View) ? view_outcome::Applied
                                  : view_outcome::NotNewer;
}

std::uint64_t balancer_core::versionOf(service_id Service) const {
  const routed_service *Found = Impl->Services.findById(Service);
  return Found == nullptr ? 0 : Found->Router.version();
}

std::size_t balancer_core::services() const { return Impl->Services.size(); }

void balancer_core::noteFleetContact(instant Now) {
  Impl->LastFleetContact = Now;
}

bool balancer_core::isStale(instant Now) const { return Impl->isStale(Now); }

packet_fault balancer_core::onDatagram(const endpoint &From, bytes_view Bytes,
                                       instant Now) {
  packet_fault Fault = packet_fault::None;
  if (isOwnerNotice(Bytes))
    Fault = Impl->handleOwnerNotice(From, Bytes);
  else if (isUnresponsiveNotice(Bytes))
    Fault = Impl->handleUnresponsiveNotice(From, Bytes, Now);
  else
    Fault = Impl->route(Bytes, Now);
  if (Fault != packet_fault::None)
    ++Impl->Counters.Dropped[static_cast<std::size_t>(Fault)];
  return Fault;
}

const balancer_counters &balancer_core::counters() const {
  return Impl->Counters;
}

std::size_t balancer_core::bytes() const {
  return sizeof(impl) + Impl->Services.bytes() + Impl->Cache.bytes();
}

std::string balancer_core::statusJson(instant Now) const {
  nlohmann::json Services = nlohmann::json::array();
  for (const auto &[Number, Service] : Impl->Services.all())
    Services.push_back({{"service", static_cast<std::uint32_t>(Number)},
                        {"address", toText(Service.Address)},
                        {"version", Service.Router.version()},
                        {"targets", Service.Router.targetCount()},
                        {"withdrawn", !Service.IsActive}});
  const nlohmann::json Status = {{"stale", Impl->isStale(Now)},
                                 {"services", std::move(Services)}};
  return Status.dump();
}

} // namespace marjoramrail
