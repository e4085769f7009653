#ifndef ROSEMARYLANE_STANDINS_FAULTY_EXCHANGE_H
#define ROSEMARYLANE_STANDINS_FAULTY_EXCHANGE_H

#include "http/Exchange.h"

#include <memory>

namespace rosemarylane::standins {

/// What becomes of an answer.
enum class AnswerFault {
  None,
  /// The connection closes in place of the answer.
  Lose,
  /// The connection closes within the answer.
  Cut,
};

/// Connections up to this number have fallen silent.
using SilentUpTo = std::shared_ptr<std::uint64_t>;

/// An exchange whose answer meets with a fault.
class FaultyExchange : public http::Exchange {
public:
  FaultyExchange(std::shared_ptr<http::Exchange> Inner, AnswerFault Fault,
                 SilentUpTo Silent)
      : Inner(std::move(Inner)), Fault(Fault), Silent(std::move(Silent)) {}
  ~FaultyExchange() override;

  const http::Request &request() const override { return Inner->request(); }
  std::uint64_t connection() const override { return Inner->connection(); }
  void respond(http::Response Whole) override;
  void startStream(http::ResponseHead Head) override;
  void write(std::string Part) override;
  void finish() override;
  void abort() override { Inner->abort(); }
  std::size_t backlog() const override { return Inner->backlog(); }
  void onGone(std::function<void()> Hook) override {
    Inner->onGone(std::move(Hook));
  }

private:
  bool silent() const { return Inner->connection() <= *Silent; }

  std::shared_ptr<http::Exchange> Inner;
  AnswerFault Fault;
  SilentUpTo Silent;
};

/// Keeps \p Silent unanswered until its caller closes.
void holdUnanswered(std::shared_ptr<http::Exchange> Silent);

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_FAULTY_EXCHANGE_H
