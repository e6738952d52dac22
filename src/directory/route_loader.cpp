#include "directory/route_loader.h"

namespace marjoramrail::internal {

void route_loader::take(const platform_object &Object) {
  if (!Reading)
    return begin(Object);
  const std::uint64_t Newest =
      Waiting ? Waiting->Version : Reading->Object.Version;
  if (Object.Version > Newest)
    Waiting = Object;
}

void route_loader::begin(const platform_object &Object) {
  platform_object Head = Object;
  Head.Body.clear();
  Reading = reading{std::move(Head), Hooks.Read(Object), {}};
  IsComplete = false;
  readNextPart();
}

void route_loader::readNextPart() {
  const auto Failure = failureOf([&] { return readPart(); });
  if (Failure) {
    // The last valid configuration stays in effect.
    Hooks.OnRefused(toText(*Failure));
    return end();
  }
  yield(IsComplete ? &route_loader::deliverTable : &route_loader::readNextPart);
}

void route_loader::deliverTable() {
  Hooks.OnTable(Reading->Object, std::move(Reading->Table));
  yield(&route_loader::notifyTableReady);
}

void route_loader::notifyTableReady() {
  Hooks.OnTableReady();
  end();
}

void route_loader::yield(void (route_loader::*Step)()) {
  Hooks.Yield([this, Step, Alive = Alive] {
    if (*Alive)
      (this->*Step)();
  });
}

result<void> route_loader::readPart() {
  callback_timer Timer(Hooks.OnCallback, callback_kind::DecodeRoutes);
  const std::size_t Before = Reading->Table.Routes.size();
  BOOST_LEAF_AUTO(Whole, Reading->Read(RoutesPerStep, Reading->Table));
  IsComplete = Whole;
  Timer.setItems(Reading->Table.Routes.size() - Before);
  return {};
}

void route_loader::end() {
  Reading.reset();
  if (Waiting)
    begin(*std::exchange(Waiting, std::nullopt));
}

} // namespace marjoramrail::internal
