#include "ctl/Table.h"

#include <algorithm>

namespace rosemarylane {

void Table::print(std::ostream &Out) const {
  constexpr std::size_t Gap = 2;
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const auto &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  for (const auto &Row : Rows) {
    for (std::size_t I = 0; I + 1 < Row.size(); ++I)
      Out << Row[I] << std::string(Widths[I] - Row[I].size() + Gap, ' ');
    Out << Row.back() << "\n";
  }
}

} // namespace rosemarylane
