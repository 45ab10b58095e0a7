#pragma once

/// Hosts as the tests of waves and moves describe them.

#include "Decision/Waves/FleetView.h"

#include <string>

namespace Fakes {

/// A host that is up and serves the pool it belongs to.
inline Decision::HostView makeHost(const std::string& name, const std::string& pool, const std::string& rack)
{
    Decision::HostView host;
    host.name = name;
    host.pool = host.homePool = pool;
    host.rack = rack;
    host.health = Decision::HostHealth::Up;
    host.serving = true;
    return host;
}

} // namespace Fakes
