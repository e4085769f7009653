#ifndef ROSEMARYLANE_CTL_TABLE_H
#define ROSEMARYLANE_CTL_TABLE_H

#include <ostream>
#include <string>
#include <vector>

namespace rosemarylane {

/// Rows of text in aligned columns, for people.
class Table {
public:
  explicit Table(std::vector<std::string> Header) {
    Rows.push_back(std::move(Header));
  }

  void add(std::vector<std::string> Row) { Rows.push_back(std::move(Row)); }

  void print(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_CTL_TABLE_H
