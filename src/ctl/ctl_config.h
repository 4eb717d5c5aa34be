/* ctl_config.h - reads and replaces the accepted configuration in the
   platform's table.

   Needs: ctl.h, spread.h (the row).  */

#ifndef MQ_CTL_CONFIG_H
#define MQ_CTL_CONFIG_H

#include "core/text/text.h"
#include "ctl.h"

#define MQ_APPLY_ID_BYTES 16

/**
 * struct mq_ctl_config - the configuration row
 * @row_version: version of the row in the table; MQ_VERSION_ABSENT if missing
 * @version: version of the configuration; 0 if there is none yet
 * @apply_id: id of the apply that wrote the row
 * @source: configuration text, zero-terminated
 * @len: length of @source in bytes
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
  MQ_APPLY_CONFLICT, /* not accepted: another version is in force */
  MQ_APPLY_FAILED,   /* not accepted: the table is unavailable */
  MQ_APPLY_UNKNOWN   /* may have been accepted, or may still be */
};

/**
 * struct mq_apply - one attempt to replace the configuration
 * @base: version that @source replaces
 * @source: the new text
 * @len: length of @source in bytes
 * @give_up_ms: how long to retry while the table is unavailable
 */
struct mq_apply
{
  uint64_t base;
  const char *source;
  size_t len;
  uint32_t give_up_ms;
};

/* Returns the row as a child of CTX, zeroed if the table has none.  Returns
   NULL with MQ_ERR_STORE_DOWN or MQ_ERR_BAD_ANSWER in ERROR.  */
struct mq_ctl_config *mq_ctl_config_read (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                          struct mq_error *error);
/**
 * mq_ctl_config_apply - compare-and-swap of the row
 * @ctx: talloc parent of @now
 * @now: out: the row as last read, or as written if it was accepted; NULL if
 *       it could not be read
 *
 * Return: whether the new text was accepted.
 */
enum mq_apply_result mq_ctl_config_apply (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                          const struct mq_apply *apply,
                                          struct mq_ctl_config **now);

#endif
