#include "Decision/Waves/BudgetRecord.h"

#include "Common/CompactJson.h"

#include <array>
#include <json/json.h>
#include <memory>

namespace Decision {

namespace {

    constexpr std::array phaseNames { "draining", "rebooting", "returning", "moving" };

    Json::Value parse(const std::string& text)
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        std::string errors;
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors) || !value.isObject())
            throw WaveError("record is not a JSON object: " + errors);
        return value;
    }

    ReservationPhase phaseOf(const std::string& name)
    {
        for (std::size_t i = 0; i < phaseNames.size(); ++i) {
            if (name == phaseNames.at(i))
                return static_cast<ReservationPhase>(i);
        }
        throw WaveError("unknown phase in a budget record: " + name);
    }

    Json::Value toJson(const Reservation& reservation)
    {
        Json::Value value;
        value["upstream"] = reservation.upstream;
        value["wave"] = reservation.wave;
        value["holder"] = reservation.holder;
        value["phase"] = phaseNames.at(static_cast<std::size_t>(reservation.phase));
        value["incarnation"] = Json::UInt64(reservation.incarnation);
        value["rebooted"] = reservation.rebooted;
        value["since"] = Json::Int64(reservation.since.time_since_epoch().count());
        return value;
    }

    Reservation reservationOf(const Json::Value& value)
    {
        Reservation reservation;
        reservation.upstream = value["upstream"].asString();
        reservation.wave = value["wave"].asString();
        reservation.holder = value["holder"].asString();
        reservation.phase = phaseOf(value["phase"].asString());
        reservation.incarnation = value["incarnation"].asUInt64();
        reservation.rebooted = value["rebooted"].asBool();
        reservation.since = Common::WallTime(std::chrono::milliseconds(value["since"].asInt64()));
        return reservation;
    }

    BudgetRecord budgetRecordOf(const Json::Value& value)
    {
        BudgetRecord record;
        record.version = value["version"].asUInt64();
        for (const auto& it : value["reserved"])
            record.reserved.push_back(reservationOf(it));
        return record;
    }

    WaveRackRecord rackRecordOf(const Json::Value& value)
    {
        WaveRackRecord record;
        record.version = value["version"].asUInt64();
        for (const auto& it : value["done"])
            record.done.insert(it.asString());
        return record;
    }

    /// Parses and converts a record. Exceptions of the JSON library and of the conversion become errors.
    template<typename Record>
    Common::Result<Record, WaveError> decode(const std::string& text, Record (*convert)(const Json::Value&))
    {
        try {
            return convert(parse(text));
        } catch (const Json::Exception& ec) {
            return WaveError(std::string("record can't be decoded: ") + ec.what());
        } catch (const WaveError& ec) {
            return ec;
        }
    }

} // namespace

std::string budgetPrefix(const std::string& dataCentre)
{
    return "/marigold/budgets/" + dataCentre + "/";
}

std::string budgetKey(const std::string& dataCentre, const std::string& service)
{
    return budgetPrefix(dataCentre) + service;
}

std::string waveProgressPrefix(const std::string& dataCentre)
{
    return "/marigold/wave-progress/" + dataCentre + "/";
}

std::string waveProgressKey(const std::string& dataCentre, const std::string& wave, const std::string& rack)
{
    return waveProgressPrefix(dataCentre) + wave + "/" + rack;
}

std::string encodeBudgetRecord(const BudgetRecord& record)
{
    Json::Value value;
    value["version"] = Json::UInt64(record.version);
    value["reserved"] = Json::arrayValue;
    for (const auto& it : record.reserved)
        value["reserved"].append(toJson(it));
    return Common::compactJson(value);
}

Common::Result<BudgetRecord, WaveError> decodeBudgetRecord(const std::string& text)
{
    return decode<BudgetRecord>(text, budgetRecordOf);
}

std::string encodeWaveRackRecord(const WaveRackRecord& record)
{
    Json::Value value;
    value["version"] = Json::UInt64(record.version);
    value["done"] = Json::arrayValue;
    for (const auto& it : record.done)
        value["done"].append(it);
    return Common::compactJson(value);
}

Common::Result<WaveRackRecord, WaveError> decodeWaveRackRecord(const std::string& text)
{
    return decode<WaveRackRecord>(text, rackRecordOf);
}

} // namespace Decision
