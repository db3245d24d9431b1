package main

import (
	"encoding/binary"
	"net"
	"strconv"

	"golang.org/x/sys/unix"
)

// Sizes and offsets of sock_diag(7).
const (
	diagRequestBytes = 56
	diagMessageBytes = 72
	diagMemoryInfo   = 7 // INET_DIAG_SKMEMINFO
	diagPortOffset   = 8 // of the local port in a request
)

// socketMemory returns the memory that the kernel holds in the buffers of all connections at a local IPv4 address, also of those that have not
// been accepted; 0 if the kernel does not tell.
func socketMemory(address string) int64 {
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(fd) }()
	request := make([]byte, unix.NLMSG_HDRLEN+diagRequestBytes)
	ne := binary.NativeEndian
	ne.PutUint32(request, uint32(len(request)))
	ne.PutUint16(request[4:], unix.SOCK_DIAG_BY_FAMILY)
	ne.PutUint16(request[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := request[unix.NLMSG_HDRLEN:]
	body[0], body[1], body[2] = unix.AF_INET, unix.IPPROTO_TCP, 1<<(diagMemoryInfo-1)
	ne.PutUint32(body[4:], ^uint32(1<<unix.BPF_TCP_LISTEN))
	binary.BigEndian.PutUint16(body[diagPortOffset:], uint16(number))
	if unix.Sendto(fd, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}) != nil {
		return 0
	}
	var sum int64
	buf := make([]byte, 64<<10)
	for {
		n, _, err := unix.Recvfrom(fd, buf, 0)
		if err != nil {
			return sum
		}
		for data := buf[:n]; len(data) >= unix.NLMSG_HDRLEN; {
			size := int(ne.Uint32(data))
			if kind := ne.Uint16(data[4:]); kind == unix.NLMSG_DONE || kind == unix.NLMSG_ERROR || size > len(data) || size < unix.NLMSG_HDRLEN {
				return sum
			}
			if size > unix.NLMSG_HDRLEN+diagMessageBytes {
				sum += bufferMemory(data[unix.NLMSG_HDRLEN+diagMessageBytes : size])
			}
			data = data[min((size+3)&^3, len(data)):]
		}
	}
}

// bufferMemory returns what the buffers in both directions take, from the attributes of a connection.
func bufferMemory(attributes []byte) int64 {
	ne := binary.NativeEndian
	for len(attributes) >= 4 {
		size := int(ne.Uint16(attributes))
		if size < 4 || size > len(attributes) {
			return 0
		}
		// Values of 32 bits: memory of received data, its limit, memory of data that is being sent, its limit, memory kept for later,
		// memory of data to be sent, options, backlog.
		if value := attributes[4:size]; ne.Uint16(attributes[2:]) == diagMemoryInfo && len(value) >= 32 {
			return int64(ne.Uint32(value)) + int64(ne.Uint32(value[20:])) + int64(ne.Uint32(value[28:]))
		}
		attributes = attributes[min((size+3)&^3, len(attributes)):]
	}
	return 0
}
