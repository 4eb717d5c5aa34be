/* ctl_config.h - the accepted configuration in the platform's table, as a
   command line tool reads and changes it.

   Needs: ctl.h, spread.h (the row).  */

#ifndef MQ_CTL_CONFIG_H
#define MQ_CTL_CONFIG_H

#include "core/text/text.h"
#include "ctl.h"

#define MQ_APPLY_ID_BYTES 16

/**
 * struct mq_ctl_config - the row
 * @row_version: version of the row in the table, MQ_VERSION_ABSENT: none
 * @version: version of the configuration, 0: none yet
 * @apply_id: of the apply that wrote it
 * @source: its text, zero-terminated
 * @len: its length
 */
struct mq_ctl_config
{
  uint64_t row_version;
  uint64_t version;
  uint8_t apply_id[MQ_APPLY_ID_BYTES];
  char *source;
  size_t len;
};

enum mq_apply_result
{
  MQ_APPLY_ACCEPTED,
  MQ_APPLY_CONFLICT, /* certainly not accepted: another version is in force */
  MQ_APPLY_FAILED,   /* certainly not accepted: the store can't be reached */
  MQ_APPLY_UNKNOWN   /* it may have been, or may yet be accepted */
};

/**
 * struct mq_apply - one attempt to put a text in force
 * @base: version that the operator looked at
 * @source: the new text
 * @len: its length
 * @give_up_ms: an unreachable store is tried again for this long
 */
struct mq_apply
{
  uint64_t base;
  const char *source;
  size_t len;
  uint32_t give_up_ms;
};

/* The row, below CTX; a zeroed one when there is none.  NULL with STORE_DOWN
   or BAD_ANSWER in ERROR.  */
struct mq_ctl_config *mq_ctl_config_read (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                          struct mq_error *error);
/**
 * mq_ctl_config_apply - compare-and-swap of the row
 * @ctl: the tool
 * @ctx: owner of @now
 * @apply: what is to be put in force
 * @now: out: the row as read last; after ACCEPTED the one that was written.
 *       NULL when it could never be read
 *
 * Return: what became of it.
 */
enum mq_apply_result mq_ctl_config_apply (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                          const struct mq_apply *apply,
                                          struct mq_ctl_config **now);

#endif
