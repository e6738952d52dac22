#include "process_pages.h"

namespace marjoramrail::daemons {

status_page::hooks readyHooks(const site_adapter &Adapter,
                              std::function<bool()> Ready) {
  status_page::hooks Hooks;
  Hooks.Serve = [IsProbe = Adapter.IsReadinessProbe, Ready = std::move(Ready)](
                    const page_request &Request) -> std::optional<page_answer> {
    if (!IsProbe(Request))
      return std::nullopt;
    return page_answer{static_cast<std::uint16_t>(Ready() ? 200 : 503), ""};
  };
  return Hooks;
}

void addStatusPages(status_page::hooks &Hooks, const event_log &Log,
                    std::function<std::string()> StatusJson) {
  Hooks.Pages["/timeline"] = [&Log] { return Log.recent(); };
  Hooks.Pages["/status"] = std::move(StatusJson);
}

void showProcess(metrics &Metrics, const platform_client &Store,
                 const event_log &Log) {
  Metrics.counterOf("marjoramrail_store_calls",
                    [&Store] { return static_cast<double>(Store.calls()); });
  Metrics.counterOf("marjoramrail_log_lines",
                    [&Log] { return static_cast<double>(Log.lines()); });
  Metrics.counterOf("marjoramrail_log_lines_left_out",
                    [&Log] { return static_cast<double>(Log.droppedLines()); });
}

} // namespace marjoramrail::daemons
