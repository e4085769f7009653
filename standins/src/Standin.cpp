#include "Standin.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace rosemarylane::standins {

namespace json = boost::json;

void Standin::receive(const Exchange &Call) {
  LastConnection = std::max(LastConnection, Call->connection());
  const std::string &Target = Call->request().Target;
  try {
    if (Target == "/faults")
      receiveFaults(Call);
    else if (Target == "/v1/counters")
      answer(Call, counters());
    else if (Target == "/control/v1/runs")
      handle(Call);
    else
      receiveFaulty(Call);
  } catch (const std::exception &E) {
    refuse(Call, 400, E.what());
  }
}

void Standin::receiveFaults(const Exchange &Call) {
  json::object Settings = bodyOf(Call);
  Switches.set(Settings);
  if (Settings.contains("silent_existing"))
    *Silent = LastConnection - (Settings.contains("silent") ? 0 : 1);
  setOwnFaults(Settings);
  answer(Call, {});
}

void Standin::receiveFaulty(const Exchange &Call) {
  bool Faulty = Switches.applyTo(Call->request().Target);
  if (Call->connection() <= *Silent || (Faulty && Switches.Silent))
    return holdUnanswered(Call);
  if (Faulty && (Switches.Outage || Switches.DropBefore.strike()))
    return Call->abort();
  AnswerFault Fault = AnswerFault::None;
  if (Faulty && Switches.LoseAnswers.strike())
    Fault = AnswerFault::Lose;
  else if (Faulty && Switches.CutAnswers.strike())
    Fault = AnswerFault::Cut;
  auto Wrapped = std::make_shared<FaultyExchange>(Call, Fault, Silent);
  after(Faulty ? Switches.Latency : std::chrono::milliseconds(0),
        [this, Wrapped] {
          try {
            handle(Wrapped);
          } catch (const std::exception &E) {
            refuse(Wrapped, 400, E.what());
          }
        });
}

void Standin::setOwnFaults(const json::object &) {}

void Standin::after(std::chrono::nanoseconds Delay,
                    std::function<void()> Work) {
  if (Delay.count() <= 0)
    return Work();
  auto Timer = std::make_shared<boost::asio::steady_timer>(On.context(), Delay);
  Timer->async_wait([Timer, Work = std::move(Work)](auto Error) {
    if (!Error)
      Work();
  });
}

void Standin::answer(const Exchange &Call, const json::object &Body) {
  Call->respond(http::jsonResponse(200, json::serialize(Body)));
}

void Standin::refuse(const Exchange &Call, unsigned Status,
                     const std::string &Detail) {
  json::object Error{{"message", Detail}, {"code", Status}};
  Call->respond(http::jsonResponse(
      Status, json::serialize(json::object{{"error", Error}})));
}

json::object Standin::bodyOf(const Exchange &Call) {
  const std::string &Body = Call->request().Body;
  return Body.empty() ? json::object() : json::parse(Body).as_object();
}

} // namespace rosemarylane::standins
