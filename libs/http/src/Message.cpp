#include "http/Message.h"

#include <boost/beast/core/string.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace rosemarylane::http {

void Headers::set(std::string Name, std::string Value) {
  std::erase_if(Fields, [&](const auto &Field) {
    return boost::beast::iequals(Field.first, Name);
  });
  add(std::move(Name), std::move(Value));
}

void Headers::add(std::string Name, std::string Value) {
  Fields.emplace_back(std::move(Name), std::move(Value));
}

std::optional<std::string_view> Headers::find(std::string_view Name) const {
  for (const auto &[FieldName, Value] : Fields)
    if (boost::beast::iequals(FieldName, Name))
      return Value;
  return std::nullopt;
}

Response jsonResponse(unsigned Status, std::string Json) {
  return {{Status, {{"Content-Type", "application/json"}}}, std::move(Json)};
}

Response problemResponse(unsigned Status, std::string_view Title,
                         std::string_view Detail, std::string_view Ran) {
  boost::json::object Problem{
      {"title", Title}, {"status", Status}, {"detail", Detail}, {"ran", Ran}};
  return {{Status, {{"Content-Type", "application/problem+json"}}},
          boost::json::serialize(Problem)};
}

} // namespace rosemarylane::http
