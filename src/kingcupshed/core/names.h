#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/ids.h"

namespace kingcupshed {

/// Interns names: assigns each a dense id, in order of first use.
///
/// @tparam Id Enumeration type of the ids.
template <typename Id>
class Names {
 public:
  /// Returns the id of a name, and assigns one on first use.
  Id Intern(std::string_view name) {
    if (const auto found = Find(name)) {
      return *found;
    }
    const Id id{static_cast<std::underlying_type_t<Id>>(names_.size())};
    names_.emplace_back(name);
    ids_.emplace(names_.back(), id);
    return id;
  }

  /// Returns the id of a known name, or nothing.
  [[nodiscard]] std::optional<Id> Find(std::string_view name) const {
    const auto found = ids_.find(name);
    if (found == ids_.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  /// Returns the name of an id that `Intern` returned.
  [[nodiscard]] const std::string& NameOf(Id id) const {
    return names_.at(ToIndex(id));
  }

  /// Returns the number of names.
  [[nodiscard]] std::size_t size() const noexcept { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::map<std::string, Id, std::less<>> ids_;
};

}  // namespace kingcupshed
