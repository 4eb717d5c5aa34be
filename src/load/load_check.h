/* load_check.h - checks that an answer is complete and belongs to its request.

   The stand-in model ends each text with "[seen M DIGEST]": the number of
   messages in its prompt and the xxHash64 of their text.  Both differ if a
   turn was lost, repeated or taken from another program.
   Needs: jansson, xxhash.  */

#ifndef MQ_LOAD_CHECK_H
#define MQ_LOAD_CHECK_H

#include "core/types.h"
#include <jansson.h>

enum mq_load_violation
{
  MQ_LOAD_CORRECT,
  MQ_LOAD_MALFORMED,      /* not a valid response */
  MQ_LOAD_WRONG_PROGRAM,  /* the response is of another program */
  MQ_LOAD_NO_DIGEST,      /* "[seen M DIGEST]" is missing */
  MQ_LOAD_WRONG_MESSAGES, /* wrong number of messages in the prompt */
  MQ_LOAD_STREAM_DIFFERS, /* the streamed text is not a prefix of the answer */
  MQ_LOAD_WRONG_HISTORY,  /* the history differs from the prompt */
  MQ_LOAD_CALL_REPEATED,  /* a non-idempotent call was repeated */
  MQ_LOAD_VIOLATIONS
};

const char *mq_load_violation_name (enum mq_load_violation violation);

/* Checks TEXT, an answer to a prompt of MESSAGES messages.  */
enum mq_load_violation mq_load_check_answer (const char *text,
                                             uint32_t messages);
/* Checks each answer in a program's history (GET …/history) against the
   preceding messages, and the last one against ANSWER.  */
enum mq_load_violation mq_load_check_history (json_t *history,
                                              const char *answer);

#endif
