#include "ServiceStandin.h"

#include <boost/json/array.hpp>

namespace rosemarylane::standins {

namespace json = boost::json;

void ServiceStandin::handle(const Exchange &Call) {
  const std::string &Target = Call->request().Target;
  if (Target == "/control/v1/runs")
    return answer(Call, runs());
  if (Target == "/control/v1/state")
    return answer(Call, {{"running", Running}});
  run(Call);
}

void ServiceStandin::run(const Exchange &Call) {
  const http::Request &Request = Call->request();
  std::string Key(Request.Fields.find("Idempotency-Key").value_or(""));
  std::uint64_t RunOfKey = ++RunsByKey[Key];
  ++Total;
  ++Running;
  json::object Body{{"run", Total},
                    {"run_of_key", RunOfKey},
                    {"key", Key},
                    {"method", Request.Method},
                    {"path", Request.Target},
                    {"body", Request.Body}};
  after(Latency, [this, Call, Body = std::move(Body)] {
    --Running;
    answer(Call, Body);
  });
}

json::object ServiceStandin::runs() const {
  json::array Runs;
  for (const auto &[Key, Count] : RunsByKey)
    Runs.push_back(json::object{{"key", Key}, {"count", Count}});
  return {{"runs", std::move(Runs)}, {"total", Total}};
}

json::object ServiceStandin::counters() const {
  return {{"requests", Total}, {"running", Running}};
}

} // namespace rosemarylane::standins
