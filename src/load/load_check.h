/* load_check.h - does an answer belong to its request, and is it whole?

   The stand-in model ends each text with "[seen M DIGEST]": how many
   messages it was shown, and the xxHash64 of their text.  A lost, doubled or
   foreign turn changes both.
   Needs: jansson, xxhash.  */

#ifndef MQ_LOAD_CHECK_H
#define MQ_LOAD_CHECK_H

#include "core/types.h"
#include <jansson.h>

enum mq_load_violation
{
  MQ_LOAD_CORRECT,
  MQ_LOAD_MALFORMED,      /* not the JSON of an answer */
  MQ_LOAD_WRONG_PROGRAM,  /* names another program than the one asked */
  MQ_LOAD_NO_DIGEST,      /* does not end in what the model saw */
  MQ_LOAD_WRONG_MESSAGES, /* the model saw more or fewer messages */
  MQ_LOAD_STREAM_DIFFERS, /* the streamed text is not the answer */
  MQ_LOAD_WRONG_HISTORY,  /* the history is not what the model saw */
  MQ_LOAD_CALL_REPEATED,  /* a call that may not be repeated was repeated */
  MQ_LOAD_VIOLATIONS
};

const char *mq_load_violation_name (enum mq_load_violation violation);

/* Checks TEXT, the answer of a turn before which the model saw MESSAGES.  */
enum mq_load_violation mq_load_check_answer (const char *text,
                                             uint32_t messages);
/* Checks each answer of a program's history (GET …/history) against the
   messages before it, and that its last one is ANSWER.  */
enum mq_load_violation mq_load_check_history (json_t *history,
                                              const char *answer);

#endif
