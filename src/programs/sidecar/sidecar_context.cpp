#include "programs/sidecar/sidecar_context.h"

namespace citronseam {

void fetch_on_control(sidecar_context& context, http_request request, std::size_t max_body_size,
                      std::function<void(const http_response&)> on_answer) {
    context.http.fetch(
        std::move(request), max_body_size,
        [&control = context.control, on_answer = std::move(on_answer)](http_response answer) {
            control.post([on_answer, answer = std::move(answer)] { on_answer(answer); });
        });
}

} // namespace citronseam
