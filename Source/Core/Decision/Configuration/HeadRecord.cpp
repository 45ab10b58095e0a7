#include "Decision/Configuration/HeadRecord.h"

#include "Common/CompactJson.h"
#include "Common/Rendezvous.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Decision {

namespace {

    /// For the second half of a content hash; stored chunk keys depend on it.
    constexpr std::uint64_t secondSeed = 0x9e3779b97f4a7c15;

    Json::Value toArray(const std::vector<std::string>& items)
    {
        Json::Value array = Json::arrayValue;
        for (const auto& item : items)
            array.append(item);
        return array;
    }

    std::vector<std::string> fromArray(const Json::Value& array)
    {
        std::vector<std::string> items;
        for (const auto& item : array)
            items.push_back(item.asString());
        return items;
    }

} // namespace

const char* const headKey = "/marigold/configuration/head";

const AcceptedChange* HeadRecord::findChange(const std::string& id) const
{
    const auto it = std::find_if(recent.begin(), recent.end(), [&](const AcceptedChange& change) { return change.changeId == id; });
    return it == recent.end() ? nullptr : &*it;
}

std::string chunkKey(const std::string& hash)
{
    return "/marigold/configuration/chunks/" + hash;
}

std::string contentHash(std::string_view bytes)
{
    std::array<char, 33> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx", static_cast<unsigned long long>(Common::hash64(bytes)),
        static_cast<unsigned long long>(Common::hash64(bytes, secondSeed)));
    return buf.data();
}

std::vector<Chunk> splitDocument(const std::string& document)
{
    std::vector<Chunk> chunks;
    for (std::size_t offset = 0; offset < document.size(); offset += maximumChunkBytes) {
        std::string content = document.substr(offset, maximumChunkBytes);
        chunks.push_back({ contentHash(content), content });
    }
    return chunks;
}

std::string encodeHead(const HeadRecord& head)
{
    Json::Value root;
    root["revision"] = Json::UInt64(head.revision);
    root["changeId"] = head.changeId;
    root["author"] = head.author;
    root["reason"] = head.reason;
    root["chunks"] = toArray(head.chunks);
    root["olderChunks"] = toArray(head.olderChunks);
    root["recent"] = Json::arrayValue;
    for (const auto& change : head.recent) {
        Json::Value entry;
        entry["changeId"] = change.changeId;
        entry["revision"] = Json::UInt64(change.revision);
        entry["documentHash"] = change.documentHash;
        root["recent"].append(entry);
    }
    return Common::compactJson(root);
}

std::optional<HeadRecord> decodeHead(std::string_view text)
{
    const auto root = Common::parseJsonObject(text);
    if (!root)
        return std::nullopt;
    try {
        HeadRecord head;
        head.revision = (*root)["revision"].asUInt64();
        head.changeId = (*root)["changeId"].asString();
        head.author = (*root)["author"].asString();
        head.reason = (*root)["reason"].asString();
        head.chunks = fromArray((*root)["chunks"]);
        head.olderChunks = fromArray((*root)["olderChunks"]);
        for (const auto& entry : (*root)["recent"])
            head.recent.push_back({ entry["changeId"].asString(), entry["revision"].asUInt64(), entry["documentHash"].asString() });
        return head;
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
}

} // namespace Decision
