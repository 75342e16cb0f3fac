#include "programs/node/weights_news.h"

#include <memory>
#include <utility>

namespace citronseam {

void add_announced_weights(wire::member_beatT& heartbeat, const announced_versions& known,
                           milliseconds due, time_point now) {
    for (const auto& [model, versions] : known) {
        for (const announced_version& announced : versions_to_tell(versions, due, now)) {
            auto written = std::make_unique<wire::weights_announcementT>();
            written->model = model;
            written->version = announced.version;
            written->age_ms = elapsed_ms(announced.announced_at, now);
            written->is_assumed = announced.is_assumed;
            heartbeat.announced_weights.push_back(std::move(written));
        }
    }
}

void for_each_announced_weights(
    const wire::member_beat& heartbeat, time_point now,
    const std::function<void(const std::string& model, const announced_version& told)>& handle) {
    if (heartbeat.announced_weights() == nullptr) {
        return;
    }
    for (const auto* announced : *heartbeat.announced_weights()) {
        handle(std::string(view(announced->model())),
               {announced->version(), now - milliseconds(announced->age_ms()),
                announced->is_assumed()});
    }
}

} // namespace citronseam
