#include "marjoramrail/agent_messages.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace std::chrono_literals;

TEST_CASE("a load report with all fields is decoded as it was encoded") {
  load_report Report;
  Report.Service = service_id(17);
  Report.Agent = {0x0a000101, 700};
  Report.Admitting = true;
  Report.Answering = false;
  Report.Active = 3;
  Report.Slots = 4;
  Report.Flows = 120;
  Report.Busy = 700;
  Report.Latency = 17ms;
  Report.Warmup = 1500ms;
  Report.Failing = 412;
  Report.Evacuated = true;
  Report.WarmupRate = 2500;

  std::array<std::uint8_t, LoadReportBytes> Buffer{};
  REQUIRE(encodeLoadReport(Report, Buffer) == LoadReportBytes);
  load_report Read;
  REQUIRE(decodeLoadReport(Buffer, Read));
  CHECK(Read == Report);
}

TEST_CASE("a long load report carries the capacity of the agent") {
  load_report Report;
  Report.Service = service_id(17);
  Report.Agent = {0x0a000101, 700};
  Report.Capacity = {.FreeSlots = 3,
                     .Waiting = {0, 2, 700, 65535},
                     .Wait = {0ms, 5ms, 1700ms, 65535ms},
                     .ServiceTime = 41'500us,
                     .Balancers = 7};

  std::array<std::uint8_t, LongLoadReportBytes> Buffer{};
  REQUIRE(encodeLoadReport(Report, Buffer) == LongLoadReportBytes);
  load_report Read;
  REQUIRE(decodeLoadReport(Buffer, Read));
  CHECK(Read == Report);
}

TEST_CASE("a wait beyond the range of the report is cut") {
  load_report Report;
  Report.Capacity.emplace().Wait = {2min, 0ms, 0ms, 0ms};

  std::array<std::uint8_t, LongLoadReportBytes> Buffer{};
  encodeLoadReport(Report, Buffer);
  load_report Read;
  REQUIRE(decodeLoadReport(Buffer, Read));
  CHECK(Read.Capacity->Wait.front() == 65535ms);
}

TEST_CASE("a short report removes the capacity of an earlier one") {
  // A balancer decodes into the report that it holds of the agent.
  std::array<std::uint8_t, LoadReportBytes> Buffer{};
  encodeLoadReport(load_report(), Buffer);
  load_report Read;
  Read.Capacity.emplace();
  REQUIRE(decodeLoadReport(Buffer, Read));
  CHECK_FALSE(Read.Capacity);
}

TEST_CASE("no long report is written to a buffer for a short one") {
  load_report Report;
  Report.Capacity.emplace();
  std::array<std::uint8_t, LoadReportBytes> Buffer{};
  CHECK(encodeLoadReport(Report, Buffer) == 0);
}
