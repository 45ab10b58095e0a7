#pragma once

/// The cases of the review that are scripts.

#include "Trial.h"

#include <memory>
#include <string>

namespace Review {

/// Null when there is no case of that name.
std::unique_ptr<Trial> makeCase(const std::string& name, const TrialSettings&);

} // namespace Review
