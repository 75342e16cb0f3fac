#include "programs/sidecar/sidecar_context.h"

namespace citronseam {

void fetch_on_control(sidecar_context& context, http_request request, std::size_t largest_body,
                      std::function<void(const http_answer&)> take) {
    context.http.fetch(std::move(request), largest_body,
                       [&control = context.control, take = std::move(take)](http_answer answer) {
                           control.post([take, answer = std::move(answer)] { take(answer); });
                       });
}

} // namespace citronseam
