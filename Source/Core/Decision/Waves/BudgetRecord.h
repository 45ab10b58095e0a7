#pragma once

/// Records of budgets and of wave progress in the store: their keys and their JSON encoding.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Waves/WaveError.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Phase of a reserved host.
enum class ReservationPhase {
    Draining,
    Rebooting,
    Returning,
    Moving, ///< Reserved for a move between pools.
};

/// A host that may be out of service and counts as unavailable in the budget.
struct Reservation {
    std::string upstream;
    std::string wave; ///< Empty for a move.
    std::string holder; ///< The planner that last wrote the entry.
    ReservationPhase phase = ReservationPhase::Draining;
    std::uint64_t incarnation = 0; ///< The host's incarnation before its reboot; a different one means that it has rebooted.
    bool rebooted = false;
    Common::WallTime since {}; ///< Start of the phase by the holder's clock.

    bool operator==(const Reservation&) const = default;
};

/// Value of the budget key of a service in a data centre.
struct BudgetRecord {
    std::uint64_t version = 0; ///< Incremented by each write.
    std::vector<Reservation> reserved;
};

/// Hosts of one rack that a wave has finished. There is one record per rack so that writes stay small at any fleet size.
struct WaveRackRecord {
    std::uint64_t version = 0;
    std::set<std::string> done;
};

/// Prefix of the budget keys of a data centre, with a trailing slash.
std::string budgetPrefix(const std::string& dataCentre);
std::string budgetKey(const std::string& dataCentre, const std::string& service);

/// Prefix of the progress keys of a data centre, with a trailing slash.
std::string waveProgressPrefix(const std::string& dataCentre);
std::string waveProgressKey(const std::string& dataCentre, const std::string& wave, const std::string& rack);

/// Compact JSON.
std::string encodeBudgetRecord(const BudgetRecord&);
/// Fails if the text isn't a JSON object, a field has a wrong type, or a phase is unknown.
Common::Result<BudgetRecord, WaveError> decodeBudgetRecord(const std::string&);

/// Compact JSON.
std::string encodeWaveRackRecord(const WaveRackRecord&);
/// Fails if the text isn't a JSON object or a field has a wrong type.
Common::Result<WaveRackRecord, WaveError> decodeWaveRackRecord(const std::string&);

} // namespace Decision
