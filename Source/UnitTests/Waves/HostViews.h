#pragma once

/// Host views for the tests of waves and moves.

#include "Decision/Waves/FleetView.h"

#include <string>

namespace Fakes {

/// Makes a host that is up and serves its home pool.
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
