package h1

import (
	"strings"
)

// parseFraming parses the fields that determine where the request ends and whether its connection stays open.
func (h *Head) parseFraming() error {
	hostCount := 0
	transferEncoding := ""
	for i := range h.Fields {
		value := h.Fields[i].Value
		switch h.Fields[i].Name {
		case "Host":
			hostCount++
			h.Host = value
		case "Content-Length":
			if err := h.parseContentLength(value); err != nil {
				return err
			}
		case "Transfer-Encoding":
			if transferEncoding != "" { // of several fields, two readers may use different ones
				return errTransferEncoding
			}
			if transferEncoding = strings.ToLower(value); transferEncoding == "" {
				return errTransferEncoding
			}
		case "Expect":
			if !strings.EqualFold(value, "100-continue") {
				return errExpect
			}
			h.ExpectContinue = true
		case "Connection":
			if err := h.parseConnection(value); err != nil {
				return err
			}
		}
	}
	return h.checkFraming(hostCount, transferEncoding)
}

// parseContentLength parses a Content-Length field, which may be given only once.
func (h *Head) parseContentLength(value string) error {
	if h.Length >= 0 || value == "" || strings.Trim(value, "0123456789") != "" {
		return errLength
	}
	if len(value) > maxLengthDigits {
		return errBodyTooLong
	}
	h.Length = 0
	for i := range len(value) {
		h.Length = 10*h.Length + int64(value[i]-'0')
	}
	return nil
}

// parseConnection parses a Connection field.
func (h *Head) parseConnection(value string) error {
	for name := range strings.SplitSeq(value, ",") {
		name = strings.Trim(name, " \t")
		if name != "" && !isToken(name) {
			return errConnection
		}
		h.Close = h.Close || strings.EqualFold(name, "close")
	}
	return nil
}

// checkFraming checks the framing fields in combination. hostCount is the number of Host fields; transferEncoding is
// the value of Transfer-Encoding, or "" if there is none.
func (h *Head) checkFraming(hostCount int, transferEncoding string) error {
	if h.HTTP10 { // HTTP/1.0 needs no Host, and readers differ on whether Transfer-Encoding applies
		h.Close = true
		if transferEncoding != "" {
			return errVersion
		}
	} else if hostCount == 0 {
		return errHost
	}
	if transferEncoding != "" {
		if transferEncoding != "chunked" || h.Length >= 0 {
			return errTransferEncoding
		}
		h.Chunked = true
	}
	if hostCount > 1 || !isHost(h.Host) {
		return errHost
	}
	if h.authority != "" && !strings.EqualFold(h.authority, h.Host) {
		return errHost // RFC 9112, 3.2.2 prefers the target's host, other readers may use the Host field
	}
	return nil
}
