/* types.h - identifiers and enumerations shared by every module.

   Needs: nothing but the C library's integer types.  */

#ifndef MQ_TYPES_H
#define MQ_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * struct mq_id - a 128-bit program id
 * @hi: shared by a program and its sub-programs; determines the partition
 * @lo: unique among programs with the same @hi
 *
 * Written as 32 lower-case hexadecimal digits.
 */
struct mq_id
{
  uint64_t hi;
  uint64_t lo;
};

/**
 * struct mq_call_ref - one attempt of one call of one program
 * @call: sequence number within the program, from 1
 * @attempt: attempt number, from 1
 */
struct mq_call_ref
{
  struct mq_id program;
  uint32_t call;
  uint32_t attempt;
};

/* Whether a refused or failed call took effect.  */
enum mq_ran
{
  MQ_RAN_NOT_RUN,
  MQ_RAN_RAN,
  MQ_RAN_UNKNOWN
};

enum mq_priority
{
  MQ_PRIORITY_URGENT,      /* a person is waiting, or a hard deadline */
  MQ_PRIORITY_INTERACTIVE, /* the default */
  MQ_PRIORITY_BATCH,       /* uses the remaining capacity */
  MQ_PRIORITY_COUNT
};

enum mq_service_kind
{
  MQ_SERVICE_AGENT, /* programs executed by this system */
  MQ_SERVICE_MODEL, /* model engines */
  MQ_SERVICE_PLAIN, /* plain services with routes */
  MQ_SERVICE_TOOL   /* tools with a single path */
};

#define MQ_NAME_MAX 64  /* bytes, including the terminator */
#define MQ_ID_TEXT 33   /* bytes of a formatted id, with terminator */
#define MQ_KEY_BYTES 32 /* bytes of a SHA-256 digest or a site key */

#endif
