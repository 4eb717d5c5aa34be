/* message_samples.h - sample messages of every type with every field set, from
   one table of fields that also compares and checks messages.

   Needs: message.h.  */

#ifndef MESSAGE_SAMPLES_H
#define MESSAGE_SAMPLES_H

#include "core/message.h"

enum sample_kind
{
  SAMPLE_U32,
  SAMPLE_U64,
  SAMPLE_BOOL,
  SAMPLE_TEXT,
  SAMPLE_ID,
  SAMPLE_REF,
  SAMPLE_ENUM,
  SAMPLE_ERROR,
  SAMPLE_RUNNING,
  SAMPLE_WORKERS,
  SAMPLE_PARTITIONS
};

/**
 * struct sample_field - one field of a message type
 * @offset: in struct mq_message
 * @last: last value of an enumeration
 */
struct sample_field
{
  enum mq_message_type type;
  size_t offset;
  enum sample_kind kind;
  int last;
};

extern const struct sample_field sample_fields[];
extern const size_t sample_field_count;

/* Creates a message whose fields all differ from 0 and from their
   neighbours.  */
struct mq_message *sample_message (TALLOC_CTX *ctx, enum mq_message_type type);
bool sample_equal (const struct mq_message *a, const struct mq_message *b);
/* True if all strings are set and all enumerations are in range.  */
bool sample_valid (const struct mq_message *message);

#endif
