#include "bench/routing/bench.h"

#include "marjoramrail/balancer.h"

#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace marjoramrail::bench {

/// The target size of docs/CAPACITY.md.
static constexpr std::uint32_t Services = 46000;
static constexpr std::uint32_t Hosts = 130000;
/// A host is replaced every 12 days and flows last for hours at most, so a
/// service rarely has a second generation. Two per service is a conservative
/// assumption.
static constexpr std::uint32_t Generations = 2;

static std::size_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::size_t Pages = 0;
  std::size_t Resident = 0;
  In >> Pages >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

static service_view serviceView(std::uint32_t Number) {
  const std::uint32_t First =
      static_cast<std::uint32_t>(std::uint64_t(Number) * Hosts / Services);
  const std::uint32_t End =
      static_cast<std::uint32_t>(std::uint64_t(Number + 1) * Hosts / Services);
  service_view View = viewOf(End - First, Generations);
  View.Id = service_id(Number);
  View.Address = {0x0b000000 + Number, 443};
  for (std::uint32_t I = 0; I < View.Targets.size(); ++I)
    View.Targets[I].Id = host_id(First + I);
  return View;
}

void measureViewBytes() {
  constexpr double Megabyte = 1e6;
  const std::size_t Before = residentBytes();
  balancer_core Core({}, {.Send = [](const endpoint &, bytes_view) {}});
  for (std::uint32_t I = 0; I < Services; ++I)
    Core.setView(serviceView(I));
  print("view_bytes", static_cast<double>(Core.bytes()) / Megabyte, "MB");
  print("view_bytes_resident",
        static_cast<double>(residentBytes() - Before) / Megabyte, "MB");
}

} // namespace marjoramrail::bench
