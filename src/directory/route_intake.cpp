#include "directory/route_intake.h"

namespace marjoramrail::internal {

void route_intake::take(const platform_object &Object) {
  if (!Reading)
    return begin(Object);
  const std::uint64_t Newest =
      Waiting ? Waiting->Version : Reading->Object.Version;
  if (Object.Version > Newest)
    Waiting = Object;
}

void route_intake::begin(const platform_object &Object) {
  platform_object Head = Object;
  Head.Body.clear();
  Reading = reading{std::move(Head), Hooks.Read(Object), {}};
  IsWhole = false;
  goOn();
}

void route_intake::goOn() {
  const auto Failure = failureOf([&] { return readPart(); });
  if (Failure) {
    // The last good one stays in force.
    Hooks.OnRefused(toText(*Failure));
    return end();
  }
  yield(IsWhole ? &route_intake::giveTable : &route_intake::goOn);
}

void route_intake::giveTable() {
  Hooks.OnTable(Reading->Object, std::move(Reading->Table));
  yield(&route_intake::use);
}

void route_intake::use() {
  Hooks.OnUse();
  end();
}

void route_intake::yield(void (route_intake::*Step)()) {
  Hooks.Yield([this, Step, Alive = Alive] {
    if (*Alive)
      (this->*Step)();
  });
}

result<void> route_intake::readPart() {
  measured_turn Turn(Hooks.OnTurn, turn_kind::DecodeRoutes);
  const std::size_t Before = Reading->Table.Routes.size();
  BOOST_LEAF_AUTO(Whole, Reading->Read(RoutesATurn, Reading->Table));
  IsWhole = Whole;
  Turn.setItems(Reading->Table.Routes.size() - Before);
  return {};
}

void route_intake::end() {
  Reading.reset();
  if (Waiting)
    begin(*std::exchange(Waiting, std::nullopt));
}

} // namespace marjoramrail::internal
