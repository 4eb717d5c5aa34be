/* http_answer.h - what the stand-ins' HTTP servers share.

   Needs: http_server.h, jansson.  */

#ifndef MQ_HTTP_ANSWER_H
#define MQ_HTTP_ANSWER_H

#include "net/http_server.h"
#include <jansson.h>

bool mq_is_request (const struct mq_http_request *request, const char *method,
                    const char *path);
/* PATH ends in "/" and something follows it.  */
bool mq_is_request_below (const struct mq_http_request *request,
                          const char *method, const char *path);
/* Answers with JSON, which it frees.  */
void mq_answer_json (struct mq_http_request *request, int status,
                     json_t *json);
void mq_answer_empty (struct mq_http_request *request); /* 200 {} */
/* The type's HTTP status and {"error":NAME}.  */
void mq_answer_failure (struct mq_http_request *request,
                        enum mq_error_type type);

#endif
