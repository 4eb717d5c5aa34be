/* http_answer.h - request matching and JSON responses for the stand-ins.

   Needs: http_server.h, jansson.  */

#ifndef MQ_HTTP_ANSWER_H
#define MQ_HTTP_ANSWER_H

#include "net/http_server.h"
#include <jansson.h>

bool mq_is_request (const struct mq_http_request *request, const char *method,
                    const char *path);
/* Matches paths that continue after PATH, which ends in "/".  */
bool mq_is_request_below (const struct mq_http_request *request,
                          const char *method, const char *path);
/* Responds with JSON and releases it.  */
void mq_answer_json (struct mq_http_request *request, int status,
                     json_t *json);
void mq_answer_empty (struct mq_http_request *request); /* 200 {} */
/* Responds with the HTTP status of TYPE and {"error":NAME}.  */
void mq_answer_failure (struct mq_http_request *request,
                        enum mq_error_type type);

#endif
