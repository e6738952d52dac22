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
