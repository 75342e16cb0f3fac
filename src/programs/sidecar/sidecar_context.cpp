#include "programs/sidecar/sidecar_context.h"

namespace citronseam {

void fetch_on_control(sidecar_context& context, http_request request, std::size_t largest_body,
                      std::function<void(const http_answer&)> on_answer) {
    context.http.fetch(
        std::move(request), largest_body,
        [&control = context.control, on_answer = std::move(on_answer)](http_answer answer) {
            control.post([on_answer, answer = std::move(answer)] { on_answer(answer); });
        });
}

} // namespace citronseam
