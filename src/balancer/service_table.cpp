#include "balancer/service_table.h"

namespace marjoramrail::internal {

bool service_table::set(const service_view &View) {
  const auto Found = ById.find(View.Id);
  if (Found != ById.end()) {
    if (Found->second.Router.version() >= View.Version)
      return false;
    releaseAddress(Found->second);
  }
  routed_service Service{service_router(View), View.Address,
                         !View.Generations.empty()};
  const auto Placed = ById.insert_or_assign(View.Id, std::move(Service)).first;
  if (Placed->second.IsActive)
    claimAddress(Placed->second);
  return true;
}

void service_table::claimAddress(routed_service &Service) {
  const routed_service *&AddressOwner = ByAddress[Service.Address];
  const routed_service *Other = AddressOwner;
  if (Other == nullptr || Service.Router.id() < Other->Router.id())
    AddressOwner = &Service;
  else
    Other = &Service;
  if (Other != nullptr)
    Shadowed.push_back(Other);
}

void service_table::releaseAddress(const routed_service &Service) {
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

const routed_service *service_table::findById(service_id Service) const {
  const auto Found = ById.find(Service);
  return Found == ById.end() ? nullptr : &Found->second;
}

const routed_service *
service_table::findByAddress(const endpoint &Address) const {
  const auto Found = ByAddress.find(Address);
  return Found == ByAddress.end() ? nullptr : Found->second;
}

/// Memory of an unordered_map in the layout of the C++ library: per node the
/// value, a link and one word of the allocator; per bucket a pointer.
template <typename Map> static std::size_t mapBytes(const Map &Entries) {
  constexpr std::size_t NodeBytes =
      sizeof(typename Map::value_type) + 2 * sizeof(void *);
  return Entries.size() * NodeBytes + Entries.bucket_count() * sizeof(void *);
}

std::size_t service_table::bytes() const {
  std::size_t Bytes = mapBytes(ById) + mapBytes(ByAddress);
  for (const auto &[Number, Service] : ById)
    Bytes += Service.Router.bytes() - sizeof(service_router);
  return Bytes;
}

} // namespace marjoramrail::internal
