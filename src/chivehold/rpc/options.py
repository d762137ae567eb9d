"""Options of grpcio that servers and channels have in common."""

MAX_MESSAGE_BYTES = 8 << 20
COMMON_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)
