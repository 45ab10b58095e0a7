#include "Jobs/Model/JobRecords.h"

#include "Jobs/Model/JobFields.h"
#include "Messages/FlatCodec.h"

#include <array>
#include <utility>

namespace Jobs {

namespace {

    using Reader = bool (*)(std::string_view, std::size_t&, std::vector<JobRecord>&);

    template<std::size_t index>
    bool readRecord(std::string_view text, std::size_t& offset, std::vector<JobRecord>& out)
    {
        auto record = Messages::unpackFields<std::variant_alternative_t<index, JobRecord>>(text, offset);
        if (!record)
            return false;
        out.emplace_back(std::in_place_index<index>, std::move(*record));
        return true;
    }

    template<std::size_t... indexes>
    constexpr std::array<Reader, sizeof...(indexes)> makeReaders(std::index_sequence<indexes...>)
    {
        return { &readRecord<indexes>... };
    }

    constexpr auto readers = makeReaders(std::make_index_sequence<std::variant_size_v<JobRecord>> {});

} // namespace

void appendRecord(std::string& out, const JobRecord& record)
{
    out.push_back(static_cast<char>(record.index()));
    std::visit([&out](const auto& it) { Messages::packFields(out, it); }, record);
}

bool readRecords(std::string_view text, std::vector<JobRecord>& out)
{
    std::size_t offset = 0;
    while (offset < text.size()) {
        const auto kind = static_cast<unsigned char>(text[offset++]);
        if (kind >= readers.size() || !readers[kind](text, offset, out))
            return false;
    }
    return true;
}

} // namespace Jobs
