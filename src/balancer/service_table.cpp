#include "balancer/service_table.h"

namespace marjoramrail::internal {

bool service_table::set(const service_view &View) {
  const auto Found = ByNumber.find(View.Id);
  if (Found != ByNumber.end()) {
    if (Found->second.Router.version() >= View.Version)
      return false;
    release(Found->second);
  }
  routed_service Service{service_router(View), View.Address,
                         !View.Generations.empty()};
  const auto Placed =
      ByNumber.insert_or_assign(View.Id, std::move(Service)).first;
  if (Placed->second.Claims)
    claim(Placed->second);
  return true;
}

void service_table::claim(routed_service &Service) {
  const routed_service *&Holder = ByAddress[Service.Address];
  const routed_service *Other = Holder;
  if (Other == nullptr || Service.Router.id() < Other->Router.id())
    Holder = &Service;
  else
    Other = &Service;
  if (Other != nullptr)
    Shadowed.push_back(Other);
}

void service_table::release(const routed_service &Service) {
  std::erase(Shadowed, &Service);
  const auto Held = ByAddress.find(Service.Address);
  if (Held == ByAddress.end() || Held->second != &Service)
    return;
  const routed_service *Next = nullptr;
  for (const routed_service *Other : Shadowed)
    if (Other->Address == Service.Address &&
        (Next == nullptr || Other->Router.id() < Next->Router.id()))
      Next = Other;
  if (Next == nullptr) {
    ByAddress.erase(Held);
    return;
  }
  std::erase(Shadowed, Next);
  Held->second = Next;
}

const routed_service *service_table::findNumber(service_id Service) const {
  const auto Found = ByNumber.find(Service);
  return Found == ByNumber.end() ? nullptr : &Found->second;
}

const routed_service *
service_table::findAddress(const endpoint &Address) const {
  const auto Found = ByAddress.find(Address);
  return Found == ByAddress.end() ? nullptr : Found->second;
}

/// Node and bucket of an unordered_map, as the C++ library lays them out: the
/// value, a link, a pointer in the table; and the allocator's own word.
template <typename Map> static std::size_t mapBytes(const Map &Entries) {
  constexpr std::size_t NodeBytes =
      sizeof(typename Map::value_type) + 2 * sizeof(void *);
  return Entries.size() * NodeBytes + Entries.bucket_count() * sizeof(void *);
}

std::size_t service_table::bytes() const {
  std::size_t Bytes = mapBytes(ByNumber) + mapBytes(ByAddress);
  for (const auto &[Number, Service] : ByNumber)
    Bytes += Service.Router.bytes() - sizeof(service_router);
  return Bytes;
}

} // namespace marjoramrail::internal
