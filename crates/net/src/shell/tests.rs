mod sockets;
