/* codec.h - converts struct mq_message to protobuf and back.

   A message of type NONE is a heartbeat, which carries only the configuration
   version.
   Needs: protobuf-c, proto/peer.pb-c.h, message.h.  */

#ifndef MQ_CODEC_H
#define MQ_CODEC_H

#include "core/message.h"

/* Encoded envelope, allocated on CTX; NULL if out of memory or an array
   exceeds its limit in limits.h.  */
uint8_t *mq_codec_pack (TALLOC_CTX *ctx, const struct mq_message *message,
                        size_t *len);
/* Message allocated on CTX; NULL with BAD_FRAME in ERROR.  Absent strings
   become "", never NULL; enumeration values out of range are BAD_FRAME.  */
struct mq_message *mq_codec_unpack (TALLOC_CTX *ctx, const uint8_t *data,
                                    size_t len, struct mq_error *error);

#endif
