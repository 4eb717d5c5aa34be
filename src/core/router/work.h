/* work.h - what all attempts at one request have in common.

   Each attempt of a caller has an id of its own, so a limit that is kept with
   one attempt starts again with the next.  Pure.
   Needs: store.h, nettle.  */

#ifndef MQ_WORK_H
#define MQ_WORK_H

#include "../store.h"

/**
 * struct mq_work - what all attempts at a request have in common
 * @organisation: name of the caller's organisation; NULL if none
 * @program: program of the request; NULL if none
 * @line: branch of the program that a turn belongs to; NULL if none
 * @previous: turn that a turn continues; NULL if none
 * @prompt: parts of a turn's prompt; NULL if not told
 * @body: body as sent by the caller, without a turn's history
 */
struct mq_work
{
  const char *organisation;
  const char *method;
  const char *host;
  const char *target;
  const char *program;
  const char *line;
  const char *previous;
  const char *prompt;
  struct mq_bytes body;
};

/* Identifies WORK, the same at all hosts; never zero.  A part of its SHA-256
   digest, so that no caller can make a request that has the identity of
   another organisation's.  */
struct mq_id mq_work_id (const struct mq_work *work);

#endif
